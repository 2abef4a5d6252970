package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.base.Ticker;
import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.evacuation.EmptiedZones;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.QuietPeriods;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.memory.ResponseMemory;
import org.boragebarrow.decision.quarantine.Quarantine;
import org.boragebarrow.decision.retry.RetryQuota;
import org.boragebarrow.decision.routing.CallerLimits;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.routing.RoutingTableHolder;
import org.boragebarrow.decision.shutdown.ShutdownDeadline;
import org.boragebarrow.decision.watch.StoreEras;
import org.boragebarrow.http.server.ServerLimits;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.node.assign.RegionAssignments;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.quarantine.QuarantineDuty;
import org.boragebarrow.node.settings.ProcessLimits;
import org.boragebarrow.node.settings.RelaySettings;
import org.boragebarrow.node.watch.RowRouter;
import org.boragebarrow.node.watch.SharedTable;
import org.boragebarrow.node.watch.TableSharing;
import org.boragebarrow.peer.link.PeerIdentity;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A host that relays callers' requests to targets, using the routing and the fleet from the platform's store. Adapters
 * supply the requests and the store's tables.
 *
 * <p>Methods may be called from any thread, except {@link #accept}, which must be called on the event loop.
 */
public final class RelayHost implements AutoCloseable {
    /** Maximum number of organisations that have their own metric series. */
    private static final int MAX_ORGANISATION_SERIES = 300;

    /** Minimum number of hosts that share the retry quota, used until the hosts are known; the largest site has 9. */
    private static final int MIN_QUOTA_HOSTS = 9;

    /**
     * How long a stopping host accepts new requests. The balancer needs two failed probes, a second apart; a request
     * that is sent later than 3 s after the signal to stop must end within the grace period, which a stream may exceed.
     */
    static final Duration STOP_ACCEPTING_AFTER = Duration.ofMillis(2_900);

    /** Part of the grace period that is reserved for writing the last responses and for the exit of the process. */
    private static final Duration EXIT_TIME = Duration.ofMillis(500);

    /** Part of the time for the exit in which responses are written. */
    private static final Duration WRITE_TIME = Duration.ofMillis(300);

    /** Maximum fraction of the grace period, as its divisor, that is reserved for the exit. */
    private static final int EXIT_TIME_DIVISOR = 4;

    private static final long DRAIN_POLL_MILLIS = 50;

    private static final int DEFAULT_MAX_HEADER_BYTES = 16 << 10;
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration DEFAULT_RECEIVE_TIMEOUT = Duration.ofSeconds(3);

    private volatile RelaySettings settings;
    private final ServerLimits defaultLimits;
    private final EventLoop loop;
    private final DecisionLog log;
    private final HostMetrics metrics = new HostMetrics(MAX_ORGANISATION_SERIES);
    private final RoutingTableHolder routing = new RoutingTableHolder();
    private final Fleet fleet = new Fleet();
    private final EmptiedZones emptied = new EmptiedZones();
    private final QuietPeriods quiet = new QuietPeriods();
    private final RegionAssignments assignments;
    private final Ticker ticker = Ticker.systemTicker();
    private final RandomGenerator random;
    private final RetryQuota retryQuota;
    private final Quarantine quarantine;
    private final QuarantineDuty quarantineDuty;
    private final ResponseMemory responses;
    private final Relay relay;
    private final FleetFeed fleetFeed;
    private final StoreFollowers followers;
    private final EarlyRequests early = new EarlyRequests(this::onFirstReads);
    private final CompletableFuture<Void> firstReads = new CompletableFuture<>();
    private volatile boolean stopping;
    private volatile boolean readinessHeld;
    private volatile int quarantinedParts;
    private volatile int emptiedZones;
    private boolean loggedReadiness;

    /**
     * Creates a host.
     *
     * @param loop runs everything but assigning and logging
     * @param random seeded differently in each incarnation, so that the retries of hosts spread out
     */
    public RelayHost(
            RelaySettings settings,
            IncarnationNumber incarnation,
            EventLoop loop,
            RandomGenerator random,
            TargetCalls calls,
            Tables tables,
            DecisionLog log) {
        this.settings = checkNotNull(settings);
        this.defaultLimits = defaultLimits(settings.limits());
        this.loop = checkNotNull(loop);
        this.random = checkNotNull(random);
        Decoders decoders = tables.decoders();
        this.log = checkNotNull(log);
        HostIncarnation self = HostIncarnation.of(settings.id(), incarnation);
        this.assignments = new RegionAssignments(
                new RegionAssignments.Identity(
                        new PeerIdentity(self, settings.zone()),
                        settings.peers(),
                        settings.centicores(),
                        settings.limits().strangers()),
                loop,
                ticker,
                fleet,
                tables.hosts(),
                log);
        assignments.setPermissions(new AssignEvent.RegionsChanged(settings.regions()));
        SharedTable sharedRouting = sharedTable(tables.routing());
        SharedTable sharedFleet = sharedTable(tables.fleet());
        assignments.setTableSharing(new TableSharing(ImmutableList.of(sharedRouting, sharedFleet)));
        this.retryQuota =
                new RetryQuota(settings.retryRatio(), settings.retrySlack(), settings.retryWindow(), MIN_QUOTA_HOSTS);
        allowDuplicates(settings.duplicateShare());
        this.quarantine = new Quarantine(settings.id().value(), settings.quarantineDuration(), random);
        this.responses = ResponseMemory.of(settings.limits().responseMemory());
        this.relay = new Relay(new RelayContext(
                self,
                settings.zone(),
                loop,
                ticker,
                random,
                routing,
                fleet,
                emptied,
                () -> this.settings.regions(),
                quiet,
                retryQuota,
                quarantine,
                assignments,
                calls,
                responses,
                log,
                metrics));
        RoutingFeed routingFeed = new RoutingFeed(decoders, routing, emptied, log, ticker::read, new OperatorChanges());
        this.fleetFeed = new FleetFeed(decoders, fleet, log, this::monotonicMillis, new FleetChanges());
        this.quarantineDuty = new QuarantineDuty(
                quarantine,
                tables.hosts(),
                loop,
                ticker,
                System::currentTimeMillis,
                new QuarantineDuty.Outputs(log, metrics, assignments::sendToAll, this::onQuarantineChanged));
        assignments.setQuarantineListener(quarantineDuty);
        SignalHandler signals = new SignalHandler(fleet, quiet, ticker, log, metrics, new SignalOutputs());
        calls.setSignalListener(signals);
        calls.setUnexpectedBytesListener(new UnexpectedBytesLog(log, metrics));
        assignments.setLeavingListener(signals);
        this.followers = new StoreFollowers(
                loop,
                random,
                tables.eras(),
                new StoreFollowers.Followed(sharedRouting, early.awaitingFirstRead(routingFeed)),
                new StoreFollowers.Followed(sharedFleet, early.awaitingFirstRead(fleetFeed)),
                new StoreFollowers.Followed(
                        tables.hosts(),
                        early.awaitingFirstRead(
                                new RowRouter(QuarantineDuty.ROW_PREFIX, quarantineDuty, assignments.directory()))));
        metrics.gauge("boragebarrow.store.eras", followers::newEras);
        metrics.gauge("boragebarrow.requests.open", relay::inProgress);
        metrics.gauge("boragebarrow.targets.slow", assignments::slowTargetCount);
        metrics.gauge("boragebarrow.attempts.queued", assignments::queuedCount);
        metrics.gauge("boragebarrow.log.dropped", log::dropped);
        metrics.gauge("boragebarrow.memory.responses", responses::heldBytes);
        metrics.gauge("boragebarrow.memory.responses.limit", responses::limit);
        metrics.gauge("boragebarrow.memory.responses.ended", responses::endedResponses);
        metrics.gauge("boragebarrow.quarantine.parts", () -> quarantinedParts);
        metrics.gauge("boragebarrow.zones.emptied", () -> emptiedZones);
    }

    /**
     * The tables of the store that a host follows, and the decoders of their rows.
     *
     * @param eras the eras of the store that its answers show, for all tables
     */
    public record Tables(
            WatchedTable routing, WatchedTable fleet, WatchedTable hosts, Decoders decoders, StoreEras eras) {}

    private SharedTable sharedTable(WatchedTable table) {
        return new SharedTable(table, settings.id(), loop, ticker, new TablePeers(table.name()));
    }

    /** Starts to follow the store's tables. */
    public void start() {
        log.write(
                RelayEvent.STARTED,
                "host",
                settings.id(),
                "zone",
                settings.zone(),
                "callers",
                settings.callers(),
                "store",
                settings.store());
        followers.start();
    }

    /** Applies the settings that may change at run time: the store's address, the regions of zones, the retry quota and the grace period. */
    public void reload(RelaySettings newSettings) {
        boolean storeMoved = !newSettings.store().equals(settings.store());
        settings = checkNotNull(newSettings);
        loop.execute(() -> {
            assignments.setPermissions(new AssignEvent.RegionsChanged(newSettings.regions()));
            relay.takeBackFromUnusable();
            quarantine.setBaseDuration(newSettings.quarantineDuration());
            retryQuota.setLimits(newSettings.retryRatio(), newSettings.retrySlack(), newSettings.retryWindow());
            allowDuplicates(newSettings.duplicateShare());
            if (storeMoved) {
                followers.restartCalls();
            }
        });
    }

    private void allowDuplicates(double share) {
        retryQuota.setDuplicatesAllowed(share > 0);
        assignments.setDuplicateShare(share);
    }

    /** Handles a complete request, once the first reads of the store were answered or one failed. */
    public void accept(RelayRequest request, ServerResponse response) {
        EarlyRequests.Early arrived = new EarlyRequests.Early(request, response, ticker.read());
        if (!early.offer(arrived)) {
            relay(arrived);
            return;
        }
        response.onClose(() -> early.remove(arrived));
        loop.schedule(() -> relayIfWaiting(arrived), arrived.maxWait().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void relayIfWaiting(EarlyRequests.Early request) {
        if (early.remove(request)) {
            relay(request);
        }
    }

    private void relay(EarlyRequests.Early request) {
        retryQuota.setHostCount(Math.max(MIN_QUOTA_HOSTS, assignments.hostCount()));
        retryQuota.setHostCountKnown(assignments.areHostsKnown());
        relay.accept(request.request(), request.response(), request.arrival());
    }

    private void onFirstReads() {
        ImmutableList<EarlyRequests.Early> waited = early.removeAll();
        if (!waited.isEmpty()) {
            log.write(RelayEvent.EARLY_REQUESTS, "requests", waited.size(), "ready", isLoaded());
        }
        // One in each turn of the event loop, so that what the first of them cause is not delayed by the others.
        waited.forEach(request -> loop.execute(() -> relayUnlessClosed(request)));
        firstReads.complete(null);
    }

    private void relayUnlessClosed(EarlyRequests.Early request) {
        if (request.response().isOpen()) {
            relay(request);
        }
    }

    /** Returns a future that completes once the first reads of the store were answered or one failed. */
    public CompletableFuture<Void> firstReads() {
        return firstReads;
    }

    /** Returns whether the balancer should send connections to this host. */
    public boolean isReady() {
        return isLoaded() && !readinessHeld && !stopping;
    }

    private boolean isLoaded() {
        return routing.current().isPresent() && fleetFeed.isLoaded() && quarantineDuty.isLoaded();
    }

    /** Reports the host as not ready until {@link #releaseReadiness}; it serves the requests that arrive meanwhile. */
    public void holdReadiness() {
        readinessHeld = true;
    }

    /** Ends {@link #holdReadiness}. */
    public void releaseReadiness() {
        readinessHeld = false;
        loop.execute(this::onReadinessChecked);
    }

    /** Returns the host's view of the deployment. */
    public CompletableFuture<HostStatus> status() {
        return CompletableFuture.supplyAsync(
                () -> new HostStatus(
                        settings.id(),
                        isReady(),
                        relay.inProgress(),
                        routing.current().map(RoutingTable::version),
                        assignments.assigner(),
                        fleet.all(),
                        fleet.leaving(),
                        quiet.current(ticker.read()),
                        emptiedFor(),
                        quarantinedParts),
                loop);
    }

    private ImmutableMap<AvailabilityZoneId, Duration> emptiedFor() {
        long now = ticker.read();
        return ImmutableMap.copyOf(Maps.transformValues(emptied.since(), since -> Duration.ofNanos(now - since)));
    }

    /** Returns the duty that lists and edits the quarantine. */
    public QuarantineDuty quarantine() {
        return quarantineDuty;
    }

    private void onQuarantineChanged() {
        assignments.setQuarantine(quarantine.quarantined(), quarantine.onProbation());
        quarantinedParts = quarantine.quarantined().size();
        relay.failQuarantined();
        onReadinessChecked();
    }

    /** Returns the limits until a configuration sets them: those of a typical site. */
    private static ServerLimits defaultLimits(ProcessLimits limits) {
        return new ServerLimits(
                limits.callerConnections(),
                DEFAULT_MAX_HEADER_BYTES,
                DEFAULT_MAX_BODY_BYTES,
                Math.max(limits.requestMemory(), 2L * DEFAULT_MAX_BODY_BYTES),
                DEFAULT_IDLE_TIMEOUT,
                DEFAULT_RECEIVE_TIMEOUT);
    }

    /** Returns the limits of callers' requests in the routing version in effect. */
    public ServerLimits limits() {
        return routing.current()
                .flatMap(RoutingTable::limits)
                .map(this::toServerLimits)
                .orElse(defaultLimits);
    }

    private ServerLimits toServerLimits(CallerLimits limits) {
        return new ServerLimits(
                defaultLimits.maxConnections(),
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                Math.max(defaultLimits.maxBufferedBytes(), 2L * limits.maxBodyBytes()),
                limits.idleTimeout(),
                limits.headerTimeout());
    }

    /** Returns the host's metrics. */
    public HostMetrics metrics() {
        return metrics;
    }

    /** Receives the phases of a shutdown, on the thread that stops the host. */
    public interface ShutdownListener {
        /** Called when connections are to be closed after each response. */
        void onDraining();

        /** Called when requests that are not complete yet are to be refused. */
        void onRefusing();
    }

    /**
     * Stops the host: fails readiness at once, accepts requests until the balancer has noticed, and lets the requests
     * in progress end. Requests that no target can answer in time are refused early enough for another host; whatever
     * is left at the end gets an error response.
     *
     * @return the time that is left for writing responses
     */
    public Duration drain(ShutdownListener listener) throws InterruptedException {
        long startedAt = ticker.read();
        Duration grace = settings.shutdownGrace();
        Duration exitTime = Comparators.min(EXIT_TIME, grace.dividedBy(EXIT_TIME_DIVISOR));
        long lastAnswersAt = startedAt + grace.minus(exitTime).toNanos();
        stopping = true;
        listener.onDraining();
        log.write(RelayEvent.STOPPING, "requests", inProgress(), "grace_ms", grace.toMillis());
        loop.execute(() -> {
            early.end();
            assignments.stopAssigning();
            relay.beginShutdown(ShutdownDeadline.at(lastAnswersAt));
        });
        sleepUntil(Math.min(startedAt + STOP_ACCEPTING_AFTER.toNanos(), lastAnswersAt), false);
        loop.execute(relay::refuseNew);
        listener.onRefusing();
        sleepUntil(lastAnswersAt, true);
        log.write(RelayEvent.STOPPED, "requests", inProgress());
        CompletableFuture.runAsync(relay::endAll, loop).join();
        followers.stop();
        Duration left = Duration.ofNanos(lastAnswersAt - ticker.read());
        return left.plus(Comparators.min(WRITE_TIME, exitTime.dividedBy(2)));
    }

    /** Stops the host at once, without letting the requests in progress end; does not close the log. */
    @Override
    public void close() {
        stopping = true;
        followers.stop();
        assignments.close();
    }

    private void sleepUntil(long end, boolean untilIdle) throws InterruptedException {
        while (end - ticker.read() > 0 && !(untilIdle && inProgress() == 0)) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        }
    }

    /** Returns the number of requests in progress; must not be called on the event loop. */
    public int inProgress() {
        return CompletableFuture.supplyAsync(relay::inProgress, loop).join();
    }

    private void onReadinessChecked() {
        if (isReady() != loggedReadiness) {
            loggedReadiness = isReady();
            log.write(RelayEvent.READY, "ready", loggedReadiness);
            followers.endStart();
        }
    }

    private final class OperatorChanges implements RoutingFeed.Listener {
        @Override
        public void onNewVersion(RoutingTable table) {
            assignments.setProfiles(table.engineProfiles());
            assignments.setPermissions(new AssignEvent.ColdStartsChanged(table.coldStarts()));
            if (fleet.setServices(table.serviceNames(), monotonicMillis())) {
                publishFleet();
            }
            relay.onNewRouting(table);
            onReadinessChecked();
        }

        @Override
        public void onZonesChanged() {
            emptiedZones = emptied.zones().size();
            assignments.setPermissions(new AssignEvent.ZonesEmptied(emptied.zones()));
            relay.takeBackFromUnusable();
        }
    }

    private final class FleetChanges implements FleetFeed.Listener {
        @Override
        public void onFleetChanged() {
            publishFleet();
        }

        @Override
        public void onCold(TargetIncarnation target, Optional<Duration> left) {
            assignments.setPermissions(new AssignEvent.ColdReported(target, left));
        }
    }

    private void publishFleet() {
        assignments.setFleet(fleet.all());
        scheduleExpiry();
        onReadinessChecked();
    }

    private void scheduleExpiry() {
        if (fleet.hasUnconfirmed()) {
            loop.schedule(this::expireTargets, Fleet.REAPPEAR_GRACE_MILLIS / 4, TimeUnit.MILLISECONDS);
        }
    }

    private void expireTargets() {
        if (fleet.expire(monotonicMillis())) {
            publishFleet();
        } else {
            scheduleExpiry();
        }
    }

    private long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(ticker.read());
    }

    private final class SignalOutputs implements SignalHandler.Outputs {
        @Override
        public void onFleetChanged() {
            publishFleet();
        }

        @Override
        public void takeBack(TargetIncarnation target) {
            // The exchange whose answer announced this is still handling it.
            loop.execute(() -> {
                relay.takeBack(target);
                relay.extendReservations(target);
            });
        }

        @Override
        public void announceLeaving(TargetIncarnation target) {
            assignments.announceLeaving(target);
        }

        @Override
        public void announceQuiet(TargetIncarnation target, Duration time) {
            assignments.announceQuiet(target, time);
        }
    }

    private final class TablePeers implements SharedTable.Peers {
        private final String table;

        TablePeers(String table) {
            this.table = table;
        }

        @Override
        public void send(HostId host, Envelope message) {
            assignments.send(host, message);
        }

        @Override
        public void onChangesAccepted(HostId host, WatchedTable.VersionedRows changes, Duration elapsed, Duration age) {
            log.write(
                    RelayEvent.WATCHER,
                    "host",
                    host,
                    "table",
                    table,
                    "state",
                    "told",
                    "row_version",
                    changes.version(),
                    "bytes",
                    changes.bytes(),
                    "asked_ms",
                    elapsed.toMillis(),
                    "age_ms",
                    age.toMillis());
        }

        @Override
        public void onPeerExcluded(HostId host, Duration elapsed, String reason) {
            log.write(
                    RelayEvent.WATCHER,
                    "host",
                    host,
                    "table",
                    table,
                    "state",
                    "passed over",
                    "asked_ms",
                    elapsed.toMillis(),
                    "reason",
                    reason);
        }
    }
}
