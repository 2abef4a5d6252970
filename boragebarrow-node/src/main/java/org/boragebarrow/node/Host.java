package org.boragebarrow.node;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Stopwatch;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.decision.change.JsonChangeCodec;
import org.boragebarrow.decision.dispatch.DispatchSettings;
import org.boragebarrow.decision.dispatch.Dispatcher;
import org.boragebarrow.decision.member.MemberEvent;
import org.boragebarrow.decision.member.MemberSettings;
import org.boragebarrow.decision.member.Membership;
import org.boragebarrow.decision.member.MemberIdentity;
import org.boragebarrow.decision.observe.ObserveEvent;
import org.boragebarrow.decision.observe.ObserveSettings;
import org.boragebarrow.decision.observe.Observer;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.engine.HttpEngineClient;
import org.boragebarrow.http.engine.HttpEngineControl;
import org.boragebarrow.http.platform.HttpHostList;
import org.boragebarrow.http.platform.HttpObjectStore;
import org.boragebarrow.http.platform.HttpTableService;
import org.boragebarrow.http.platform.HttpWeightStore;
import org.boragebarrow.http.server.HttpServer;
import org.boragebarrow.http.service.HttpServiceClient;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.admin.AdminApi;
import org.boragebarrow.node.change.ChangeDuty;
import org.boragebarrow.node.claim.ClaimDuty;
import org.boragebarrow.node.dispatch.DispatchContext;
import org.boragebarrow.node.dispatch.DispatchRouter;
import org.boragebarrow.node.front.EngineReleases;
import org.boragebarrow.node.front.Front;
import org.boragebarrow.node.front.GangReservations;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.MemberDuty;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.plan.PlanDuty;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.node.settings.HostSettings;
import org.boragebarrow.node.target.ConnectProbe;
import org.boragebarrow.node.target.ObserveDuty;
import org.boragebarrow.node.target.TargetDirectory;
import org.boragebarrow.peer.link.PeerIdentity;
import org.boragebarrow.peer.link.PeerKey;
import org.boragebarrow.peer.link.PeerLinks;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.wire.ChangeMessages;
import org.boragebarrow.peer.wire.SummaryMessages;
import org.boragebarrow.port.EngineControl;
import org.boragebarrow.port.ObjectStore;
import org.boragebarrow.port.TableService;

/** One host with all its duties and servers. Thread-safe. */
public final class Host implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(Host.class);
    private static final long DISPATCH_TICK_MILLIS = 20;
    private static final long TICK_MILLIS = 250;
    private static final long RENEW_MILLIS = 1_000;
    private static final long HOST_LIST_MILLIS = 1_000;
    private static final long DRAIN_POLL_MILLIS = 50;
    private static final Duration SETTLE_LIMIT = Duration.ofSeconds(10);

    private final HostSettings settings;
    private final EventLoopGroup loops;
    private final HostMetrics metrics;
    private final TargetDirectory directory;
    private final HostListFeed listings;
    private final PeerLinks links;
    private final MemberDuty members;
    private final ChangeDuty changes;
    private final ClaimDuty claims;
    private final DispatchRouter dispatching;
    private final ObserveDuty observing;
    private final PlanDuty planning;
    private final Front front;
    private final HttpServer callerServer;
    private final HttpServer adminServer;
    private final HttpClient client;

    private volatile boolean draining;

    private Host(HostSettings settings, IncarnationNumber incarnation, Surroundings decorator) {
        this.settings = settings;
        this.loops = new MultiThreadIoEventLoopGroup(settings.ioThreads(), NioIoHandler.newFactory());
        this.metrics = new HostMetrics(settings.maxOrganisationSeries());
        this.directory = new TargetDirectory(settings.targets());
        this.client = new HttpClient(loops);
        HostSettings.Platform platform = settings.platform();
        EngineControl control = new HttpEngineControl(client, platform.timeout());
        DutyRing.Factory rings = new DutyRing.Factory(
                settings.ringCapacity(), (duty, failure) -> LOG.write(LogEvent.DUTY_FAILED, duty, failure));
        Ticker ticker = Ticker.systemTicker();

        PeerRouter peerRouter = new PeerRouter(metrics);
        HostIncarnation hostIncarnation = HostIncarnation.of(settings.id(), incarnation);
        PeerIdentity identity = new PeerIdentity(hostIncarnation, settings.zone());
        this.links =
                PeerLinks.start(identity, PeerKey.of(settings.peerKey().bytes()), peerRouter, loops, settings.peers());
        PeerSender peers = decorator.peers(links);
        MemberIdentity self = new MemberIdentity(hostIncarnation, settings.zone(), links.endpoint());
        Reactions eventRouter = new Reactions(peers);
        this.members = new MemberDuty(
                self,
                new Membership(self, MemberSettings.defaults(), incarnation.value()),
                peers,
                ticker,
                eventRouter,
                rings);
        JsonChangeCodec codec = new JsonChangeCodec();
        TableService table = decorator.table(new HttpTableService(client, platform.table(), platform.timeout()));
        this.changes = new ChangeDuty(codec, table, ticker, eventRouter, rings);
        ObjectStore objects = new HttpObjectStore(client, platform.objects(), platform.timeout());
        this.claims = new ClaimDuty(new ClaimDuty.Collaborators(members, peers, table, objects, ticker, loops), rings);
        DispatchContext context = new DispatchContext(
                members,
                peers,
                directory,
                () -> changes.state().configuration(),
                metrics,
                ticker,
                loops,
                settings.grantTimeout());
        this.dispatching = new DispatchRouter(
                context,
                new Dispatcher(settings.zone(), DispatchSettings.defaults()),
                summary -> members.offer(new MemberEvent.SummaryChanged(SummaryMessages.toPayload(summary))),
                rings);
        this.observing = new ObserveDuty(
                new ObserveDuty.Collaborators(members, directory, control, new ConnectProbe(loops), peers, ticker),
                new Observer(settings.id(), ObserveSettings.defaults(), incarnation.value()),
                dispatching,
                rings);
        this.listings = new HostListFeed(
                settings,
                decorator.hostList(new HttpHostList(client, platform.hostList(), platform.timeout())),
                new HostListFeed.Receivers(directory, members, dispatching, observing));
        this.planning = new PlanDuty(
                new PlanDuty.Collaborators(
                        members,
                        directory,
                        () -> changes.state().configuration(),
                        control,
                        table,
                        new HttpWeightStore(client, platform.weights(), platform.timeout()),
                        ticker),
                settings.planning(),
                rings);
        EngineReleases releases = new EngineReleases(control, loops);
        Front.Collaborators frontCollaborators = new Front.Collaborators(
                members::self,
                dispatching.broker(),
                claims,
                objects,
                new HttpEngineClient(client),
                new HttpServiceClient(client),
                releases,
                new GangReservations(control, releases),
                metrics,
                ticker,
                new SplittableRandom(incarnation.value()));
        this.front = new Front(frontCollaborators, settings.services(), settings.maxRequests());
        eventRouter.connect(new Reactions.Duties(
                members, changes, claims, dispatching, observing, front, new ChangeMessages(codec)));
        peerRouter.connect(
                new PeerRouter.Duties(members, changes, claims, dispatching, observing, new ChangeMessages(codec)));
        this.adminServer = HttpServer.start(
                loops,
                settings.admin(),
                settings.callerLimits(),
                new AdminApi(settings.adminToken(), changes, new HostPages(members, changes, front, metrics)));
        this.callerServer = HttpServer.start(loops, settings.callers(), settings.callerLimits(), front);
        publishGauges();
        schedule();
    }

    /**
     * Starts a host.
     *
     * @param incarnation higher than that of every earlier incarnation of the same host
     * @throws RuntimeException if an endpoint cannot be bound
     */
    public static Host start(HostSettings settings, IncarnationNumber incarnation) {
        return start(settings, incarnation, Surroundings.DIRECT);
    }

    /** Starts a host with decorated clients; otherwise like {@link #start(HostSettings, IncarnationNumber)}. */
    public static Host start(HostSettings settings, IncarnationNumber incarnation, Surroundings decorator) {
        Host host = new Host(settings, incarnation, decorator);
        LOG.write(
                LogEvent.HOST_STARTED,
                settings.id(),
                host.callerEndpoint(),
                host.adminEndpoint(),
                host.links.endpoint());
        return host;
    }

    private void publishGauges() {
        metrics.gauge("boragebarrow.requests.in.progress", front::inProgress);
        metrics.gauge("boragebarrow.change", () -> changes.state().number());
        metrics.gauge("boragebarrow.ring.dispatch", () -> dispatching.duty().queuedEvents());
        metrics.gauge("boragebarrow.grants.waiting", () -> dispatching.broker().pendingCount());
        metrics.gauge("boragebarrow.grants.in.use", () -> dispatching.broker().activeCount());
        metrics.gauge("boragebarrow.connections", callerServer::connections);
        metrics.gauge("boragebarrow.buffered.bytes", callerServer::bufferedBytes);
        metrics.gauge(
                "boragebarrow.targets.reported",
                () -> dispatching.reportedTargets().size());
        metrics.gauge("boragebarrow.peer.bytes.sent", links.traffic()::sentBytes);
        metrics.gauge("boragebarrow.peer.bytes.received", links.traffic()::receivedBytes);
        metrics.gauge("boragebarrow.members", () -> members.members().live().size());
    }

    private void schedule() {
        listings.start();
        every(DISPATCH_TICK_MILLIS, dispatching::tick);
        every(TICK_MILLIS, this::tick);
        every(RENEW_MILLIS, dispatching::renew);
        every(HOST_LIST_MILLIS, listings::read);
    }

    private void every(long millis, Runnable action) {
        loops.next().scheduleAtFixedRate(() -> guarded(action), 0, millis, TimeUnit.MILLISECONDS);
    }

    /** Logs an exception of the action instead of throwing it, because a timer that throws is cancelled. */
    private static void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.write(LogEvent.DUTY_FAILED, "timer", e);
        }
    }

    private void tick() {
        members.offer(new MemberEvent.Ticked());
        changes.tick(members.holds(new Role.ClaimWriter()));
        claims.tick(changes.state().configuration().plans().keySet());
        planning.tick();
        observing.offer(new ObserveEvent.Ticked());
        boolean ready = changes.isReady() && !draining;
        if (ready != front.isReady()) {
            front.setReady(ready);
            LOG.write(LogEvent.READINESS_CHANGED, ready);
        }
    }

    /** Returns the endpoint for callers. */
    public Endpoint callerEndpoint() {
        return callerServer.endpoint();
    }

    /** Returns the endpoint for operators. */
    public Endpoint adminEndpoint() {
        return adminServer.endpoint();
    }

    /** Returns the endpoint for other hosts. */
    public Endpoint peerEndpoint() {
        return links.endpoint();
    }

    /** Returns the number of requests in progress. */
    public int requestsInProgress() {
        return front.inProgress();
    }

    /** Returns the number of the last change in effect at this host. */
    public long changeInForce() {
        return changes.state().number();
    }

    /** Returns this host's view of the members. */
    public Members members() {
        return members;
    }

    /** Returns the targets that observers have reported to this host's dispatcher. */
    public ImmutableSet<TargetId> reportedTargets() {
        return dispatching.reportedTargets();
    }

    /** Returns the fencing number of the orders that this host sends, if it holds the lease of its zone's planner. */
    public OptionalLong plannerFencingNumber() {
        return planning.fencingNumber();
    }

    /** Returns whether the host reports itself ready to the load balancer. */
    public boolean isReady() {
        return front.isReady();
    }

    /**
     * Drains and closes the host; blocks until every request in progress has ended.
     *
     * <p>The host first reports itself as not ready to the load balancer. Requests that still arrive are served until
     * the grace period has passed, and refused as not run after it. Each request ends within its own time limit, so the
     * wait is bounded.
     */
    public void drain() throws InterruptedException {
        draining = true;
        front.setReady(false);
        members.offer(new MemberEvent.Draining());
        LOG.write(LogEvent.HOST_DRAINING, front.inProgress());
        sleep(settings.drainGrace());
        front.refuseNew();
        while (front.inProgress() > 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        }
        awaitClaims();
        members.offer(new MemberEvent.Leaving());
        TimeUnit.MILLISECONDS.sleep(2 * DRAIN_POLL_MILLIS);
        close();
    }

    /** Waits a bounded time until the remaining claims are released or recorded in the table service. */
    private void awaitClaims() throws InterruptedException {
        Stopwatch waited = Stopwatch.createStarted();
        while (claims.unsettled() > 0 && waited.elapsed().compareTo(SETTLE_LIMIT) < 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        }
    }

    private static void sleep(Duration time) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(time.toMillis());
    }

    /** Closes the host immediately; the connections of requests in progress are closed. */
    @Override
    public void close() {
        LOG.write(LogEvent.HOST_STOPPED, front.inProgress());
        callerServer.closeNow();
        adminServer.closeNow();
        planning.close();
        observing.close();
        dispatching.close();
        claims.close();
        changes.close();
        members.close();
        links.close();
        client.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
