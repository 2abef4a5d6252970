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
import org.boragebarrow.decision.member.MemberIdentity;
import org.boragebarrow.decision.member.MemberSettings;
import org.boragebarrow.decision.member.Membership;
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
import org.boragebarrow.http.server.ServerLimits;
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
    private static final int MAX_ADMIN_CONNECTIONS = 256;
    private static final int MAX_ADMIN_BODY_BYTES = 1 << 20;
    private static final long ADMIN_MEMORY_BYTES = 4 << 20;
    private static final long DISPATCH_TICK_INTERVAL_MILLIS = 20;
    private static final long TICK_INTERVAL_MILLIS = 250;
    private static final long RENEW_INTERVAL_MILLIS = 1_000;
    private static final long HOST_LIST_INTERVAL_MILLIS = 1_000;
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

    /** How long callers may take to read their last responses. */
    private static final Duration RESPONSE_WRITE_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration CLAIM_DRAIN_TIMEOUT = Duration.ofSeconds(10);

    private final HostSettings settings;
    private final EventLoopGroup loops;
    private final HostMetrics metrics;
    private final TargetDirectory directory;
    private final HostListFeed hostListFeed;
    private final PeerLinks links;
    private final MemberDuty members;
    private final ChangeDuty changes;
    private final ClaimDuty claims;
    private final DispatchRouter dispatchRouter;
    private final ObserveDuty observeDuty;
    private final PlanDuty planDuty;
    private final Front front;
    private final HttpServer callerServer;
    private final HttpServer adminServer;
    private final HttpClient client;

    private volatile boolean draining;

    private Host(HostSettings settings, IncarnationNumber incarnation, PortDecorator decorator) {
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
        PeerSender peers = decorator.decoratePeerSender(links);
        MemberIdentity self = new MemberIdentity(hostIncarnation, settings.zone(), links.endpoint());
        DutyEventRouter eventRouter = new DutyEventRouter(peers);
        this.members = new MemberDuty(
                self,
                new Membership(self, MemberSettings.defaults(), incarnation.value()),
                peers,
                ticker,
                eventRouter,
                rings);
        JsonChangeCodec codec = new JsonChangeCodec();
        TableService table =
                decorator.decorateTable(new HttpTableService(client, platform.table(), platform.timeout()));
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
        this.dispatchRouter = new DispatchRouter(
                context,
                new Dispatcher(settings.zone(), DispatchSettings.defaults()),
                summary -> members.offer(new MemberEvent.SummaryChanged(SummaryMessages.toPayload(summary))),
                rings);
        this.observeDuty = new ObserveDuty(
                new ObserveDuty.Collaborators(members, directory, control, new ConnectProbe(loops), peers, ticker),
                new Observer(settings.id(), ObserveSettings.defaults(), incarnation.value()),
                dispatchRouter,
                rings);
        this.hostListFeed = new HostListFeed(
                settings,
                decorator.decorateHostList(new HttpHostList(client, platform.hostList(), platform.timeout())),
                new HostListFeed.Receivers(directory, members, dispatchRouter, observeDuty));
        this.planDuty = new PlanDuty(
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
                dispatchRouter.broker(),
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
        eventRouter.connect(new DutyEventRouter.Duties(
                members, changes, claims, dispatchRouter, observeDuty, front, new ChangeMessages(codec)));
        peerRouter.connect(new PeerRouter.Duties(
                members, changes, claims, dispatchRouter, observeDuty, new ChangeMessages(codec)));
        ServerLimits adminLimits = adminLimits(settings.callerLimits());
        this.adminServer = HttpServer.startReplacingIdle(
                loops,
                settings.admin(),
                adminLimits,
                new AdminApi(settings.adminToken(), changes, new HostPages(members, changes, front, metrics)));
        this.callerServer = HttpServer.start(loops, settings.callers(), settings.callerLimits(), front);
        registerGauges();
        schedule();
    }

    /** Returns the limits of the operators' door: entries are short, and few operators work at the same time. */
    private static ServerLimits adminLimits(ServerLimits callers) {
        return new ServerLimits(
                MAX_ADMIN_CONNECTIONS,
                callers.maxHeaderBytes(),
                MAX_ADMIN_BODY_BYTES,
                ADMIN_MEMORY_BYTES,
                callers.idleTimeout(),
                callers.receiveTimeout());
    }

    /**
     * Starts a host.
     *
     * @param incarnation higher than that of every earlier incarnation of the same host
     * @throws RuntimeException if an endpoint cannot be bound
     */
    public static Host start(HostSettings settings, IncarnationNumber incarnation) {
        return start(settings, incarnation, PortDecorator.NONE);
    }

    /** Starts a host with decorated clients; otherwise like {@link #start(HostSettings, IncarnationNumber)}. */
    public static Host start(HostSettings settings, IncarnationNumber incarnation, PortDecorator decorator) {
        Host host = new Host(settings, incarnation, decorator);
        LOG.write(
                LogEvent.HOST_STARTED,
                settings.id(),
                host.callerEndpoint(),
                host.adminEndpoint(),
                host.links.endpoint());
        return host;
    }

    private void registerGauges() {
        metrics.gauge("boragebarrow.requests.in.progress", front::inProgress);
        metrics.gauge("boragebarrow.change", () -> changes.state().number());
        metrics.gauge("boragebarrow.ring.dispatch", () -> dispatchRouter.duty().queuedEvents());
        metrics.gauge(
                "boragebarrow.grants.waiting", () -> dispatchRouter.broker().pendingCount());
        metrics.gauge(
                "boragebarrow.grants.in.use", () -> dispatchRouter.broker().activeCount());
        metrics.gauge("boragebarrow.connections", callerServer::connections);
        metrics.gauge("boragebarrow.buffered.bytes", callerServer::bufferedBytes);
        metrics.gauge(
                "boragebarrow.targets.reported",
                () -> dispatchRouter.reportedTargets().size());
        metrics.gauge("boragebarrow.peer.bytes.sent", links.traffic()::sentBytes);
        metrics.gauge("boragebarrow.peer.bytes.received", links.traffic()::receivedBytes);
        metrics.gauge("boragebarrow.members", () -> members.members().live().size());
    }

    private void schedule() {
        hostListFeed.start();
        scheduleEvery(DISPATCH_TICK_INTERVAL_MILLIS, dispatchRouter::tick);
        scheduleEvery(TICK_INTERVAL_MILLIS, this::tick);
        scheduleEvery(RENEW_INTERVAL_MILLIS, dispatchRouter::renew);
        scheduleEvery(HOST_LIST_INTERVAL_MILLIS, hostListFeed::read);
    }

    private void scheduleEvery(long millis, Runnable action) {
        loops.next().scheduleAtFixedRate(() -> runLoggingFailure(action), 0, millis, TimeUnit.MILLISECONDS);
    }

    /** Logs an exception of the action instead of throwing it, because a timer that throws is cancelled. */
    private static void runLoggingFailure(Runnable action) {
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
        planDuty.tick();
        observeDuty.offer(new ObserveEvent.Ticked());
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
    public long appliedChangeNumber() {
        return changes.state().number();
    }

    /** Returns this host's view of the members. */
    public Members members() {
        return members;
    }

    /** Returns the targets that observers have reported to this host's dispatcher. */
    public ImmutableSet<TargetId> reportedTargets() {
        return dispatchRouter.reportedTargets();
    }

    /** Returns the fencing number of the orders that this host sends, if it holds the lease of its zone's planner. */
    public OptionalLong plannerFencingNumber() {
        return planDuty.fencingNumber();
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
        callerServer.drain();
        members.offer(new MemberEvent.Draining());
        LOG.write(LogEvent.HOST_DRAINING, front.inProgress());
        sleep(settings.drainGrace());
        front.refuseNew();
        callerServer.refuseIncomplete();
        while (front.inProgress() > 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
        awaitActiveClaims();
        members.offer(new MemberEvent.Leaving());
        TimeUnit.MILLISECONDS.sleep(2 * DRAIN_POLL_INTERVAL_MILLIS);
        callerServer.closeGracefully(RESPONSE_WRITE_TIMEOUT);
        close();
    }

    /** Waits a bounded time until the remaining claims are released or recorded in the table service. */
    private void awaitActiveClaims() throws InterruptedException {
        Stopwatch waited = Stopwatch.createStarted();
        while (claims.activeAttempts() > 0 && waited.elapsed().compareTo(CLAIM_DRAIN_TIMEOUT) < 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MILLIS);
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
        planDuty.close();
        observeDuty.close();
        dispatchRouter.close();
        claims.close();
        changes.close();
        members.close();
        links.close();
        client.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
