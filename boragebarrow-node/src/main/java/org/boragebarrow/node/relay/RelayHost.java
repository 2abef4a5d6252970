package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.decision.retry.RetryShare;
import org.boragebarrow.decision.routing.CallerLimits;
import org.boragebarrow.decision.routing.RoutingFollower;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.http.server.ServerLimits;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.model.Incarnation;
import org.boragebarrow.node.assign.RegionAssignments;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.settings.RelaySettings;
import org.boragebarrow.node.watch.SharedTable;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.node.watch.TableSharing;
import org.boragebarrow.peer.link.PeerIdentity;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A host that passes requests on: it follows the routing and the fleet in the platform's store and relays what callers
 * send. Its adapters bring the requests and the store's tables.
 *
 * <p>Methods may be called from any thread but for {@link #accept}, which belongs to the event loop.
 */
public final class RelayHost {
    /** Organisations with series of their own in the metrics. */
    private static final int MAX_ORGANISATION_SERIES = 300;

    /** The host count that the shared retry budget is divided by until the hosts are known; today's largest site has 9. */
    private static final int ASSUMED_HOSTS = 9;

    static final Duration FIRST_RETRY = Duration.ofMillis(100);

    /** Longest pause between two calls of a store that fails: a second of 2 in which a change must be in force. */
    static final Duration LONGEST_RETRY = Duration.ofMillis(800);

    /**
     * How the routing and the fleet are followed. A call that was sent to a store before it fell silent is never answered,
     * and the store's promises hold again 3 s after its return: with the time of a call, it is given up just before that.
     * Changes rest for a tenth of the 2 s in which the shortest of them must bind.
     */
    static final TableFollower.Pace CHANGES = new TableFollower.Pace(Duration.ofMillis(1_700), Duration.ofMillis(200));

    /**
     * How the hosts' own table is followed: no promise hangs on it, as a host that starts reads it whole and makes itself
     * known to those that it asks; the store lets a call wait for 30 s at most.
     */
    private static final TableFollower.Pace HOSTS =
            new TableFollower.Pace(Duration.ofSeconds(25), Duration.ofSeconds(5));

    /** Longest pause between two calls for the hosts' own table; alone, a host assigns its own requests. */
    private static final Duration LONGEST_HOSTS_RETRY = Duration.ofSeconds(3);

    /**
     * How long a host that stops takes new requests. The balancer needs two of its probes, a second apart; a request that was
     * sent later than 3 s after the order to stop has to end within the grace, which a stream may not.
     */
    static final Duration STOP_ACCEPTING_AFTER = Duration.ofMillis(2_900);

    /** Kept back of the time until the kill, for the end of the process itself. */
    private static final Duration EXIT_TIME = Duration.ofMillis(500);

    private static final long DRAIN_POLL_MILLIS = 50;

    /** Bounds until a configuration tells them: those of an ordinary site. */
    private static final ServerLimits STARTING_LIMITS =
            new ServerLimits(3_000, 16 << 10, 4 << 20, 64L << 20, Duration.ofSeconds(15), Duration.ofSeconds(3));

    private volatile RelaySettings settings;
    private final EventLoop loop;
    private final DecisionLog log;
    private final HostMetrics metrics = new HostMetrics(MAX_ORGANISATION_SERIES);
    private final RoutingFollower routing = new RoutingFollower();
    private final Fleet fleet = new Fleet();
    private final RegionAssignments assignments;
    private final Ticker ticker = Ticker.systemTicker();
    private final RandomGenerator random;
    private final RetryShare retries;
    private final Relay relay;
    private final FleetFeed fleetFeed;
    private final TableFollower routingFollower;
    private final TableFollower fleetFollower;
    private final TableFollower hostFollower;
    private volatile boolean stopping;
    private boolean told;

    /**
     * Creates a host.
     *
     * @param loop on which everything but assigning and logging happens
     * @param random seeded anew in each life, so that hosts spread out
     */
    public RelayHost(
            RelaySettings settings,
            Incarnation incarnation,
            EventLoop loop,
            RandomGenerator random,
            TargetCalls calls,
            Tables tables,
            DecisionLog log) {
        this.settings = checkNotNull(settings);
        this.loop = checkNotNull(loop);
        this.random = checkNotNull(random);
        Decoders decoders = tables.decoders();
        this.log = checkNotNull(log);
        HostLife self = HostLife.of(settings.id(), incarnation);
        this.assignments = new RegionAssignments(
                new RegionAssignments.Identity(
                        new PeerIdentity(self, settings.zone()), settings.peers(), settings.centicores()),
                loop,
                ticker,
                fleet,
                tables.hosts(),
                log);
        SharedTable sharedRouting = shared(tables.routing());
        SharedTable sharedFleet = shared(tables.fleet());
        assignments.share(new TableSharing(ImmutableList.of(sharedRouting, sharedFleet)));
        this.retries = new RetryShare(
                settings.repeatRatio(), settings.repeatAllowance(), settings.repeatWindow(), ASSUMED_HOSTS);
        this.relay = new Relay(new RelayContext(
                self,
                settings.zone(),
                loop,
                ticker,
                random,
                routing,
                fleet,
                retries,
                assignments,
                calls,
                log,
                metrics));
        RoutingFeed routingFeed = new RoutingFeed(decoders, routing, log, this::onRouting);
        this.fleetFeed = new FleetFeed(decoders, fleet, log, this::millis, this::publishFleet);
        this.routingFollower = new TableFollower(loop, sharedRouting, backoff(LONGEST_RETRY), CHANGES, routingFeed);
        this.fleetFollower = new TableFollower(loop, sharedFleet, backoff(LONGEST_RETRY), CHANGES, fleetFeed);
        this.hostFollower =
                new TableFollower(loop, tables.hosts(), backoff(LONGEST_HOSTS_RETRY), HOSTS, assignments.directory());
        metrics.gauge("boragebarrow.requests.open", relay::inProgress);
        metrics.gauge("boragebarrow.log.dropped", log::dropped);
    }

    /** The tables of the store that a host follows, and how they are read. */
    public record Tables(WatchedTable routing, WatchedTable fleet, WatchedTable hosts, Decoders decoders) {}

    private SharedTable shared(WatchedTable table) {
        return new SharedTable(table, settings.id(), loop, ticker, new TablePeers(table.name()));
    }

    private Backoff backoff(Duration longest) {
        return new Backoff(FIRST_RETRY, longest, random);
    }

    /** Starts to follow the store. */
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
        loop.execute(routingFollower::start);
        loop.execute(fleetFollower::start);
        loop.execute(hostFollower::start);
    }

    /** Takes over what may change while the host runs: the store's address, the bounds of repeats, the time to stop in. */
    public void reload(RelaySettings changed) {
        boolean storeMoved = !changed.store().equals(settings.store());
        settings = checkNotNull(changed);
        loop.execute(() -> {
            retries.setTerms(changed.repeatRatio(), changed.repeatAllowance(), changed.repeatWindow());
            if (storeMoved) {
                routingFollower.callAnew();
                fleetFollower.callAnew();
                hostFollower.callAnew();
            }
        });
    }

    /** Takes a whole request. */
    public void accept(RelayRequest request, ServerResponse response) {
        retries.setHosts(Math.max(ASSUMED_HOSTS, assignments.hostCount()));
        relay.accept(request, response);
    }

    /** Returns whether the balancer should send connections. */
    public boolean isReady() {
        return routing.current().isPresent() && fleetFeed.isRead() && !stopping;
    }

    /** Returns what callers may send, by the version in force. */
    public ServerLimits limits() {
        return routing.current()
                .flatMap(RoutingTable::limits)
                .map(RelayHost::toServerLimits)
                .orElse(STARTING_LIMITS);
    }

    private static ServerLimits toServerLimits(CallerLimits limits) {
        long buffered = Math.max(STARTING_LIMITS.maxBufferedBytes(), limits.bodyBytes());
        return new ServerLimits(
                STARTING_LIMITS.maxConnections(),
                limits.headerBytes(),
                limits.bodyBytes(),
                buffered,
                limits.idle(),
                limits.receive());
    }

    /** Returns the meters. */
    public HostMetrics metrics() {
        return metrics;
    }

    /**
     * Stops: fails readiness at once, takes requests until the balancer has noticed, and lets those in progress end.
     *
     * @param onDraining runs once new connections should be told to close after each answer
     */
    public void drain(Runnable onDraining) throws InterruptedException {
        long begun = ticker.read();
        stopping = true;
        onDraining.run();
        log.write(
                RelayEvent.STOPPING,
                "requests",
                inProgress(),
                "grace_ms",
                settings.grace().toMillis());
        sleepUntil(begun, STOP_ACCEPTING_AFTER, false);
        loop.execute(relay::refuseNew);
        sleepUntil(begun, settings.grace().minus(EXIT_TIME), true);
        routingFollower.stop();
        fleetFollower.stop();
        hostFollower.stop();
        log.write(RelayEvent.STOPPED, "requests", inProgress());
        log.close();
    }

    private void sleepUntil(long begun, Duration after, boolean untilIdle) throws InterruptedException {
        while (ticker.read() - begun < after.toNanos() && !(untilIdle && inProgress() == 0)) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        }
    }

    private int inProgress() {
        return CompletableFuture.supplyAsync(relay::inProgress, loop).join();
    }

    private void tellReadiness() {
        if (isReady() != told) {
            told = isReady();
            log.write(RelayEvent.READY, "ready", told);
        }
    }

    private void onRouting(RoutingTable table) {
        assignments.setProfiles(table.engines());
        tellReadiness();
    }

    private void publishFleet() {
        assignments.setFleet(fleet.all());
        scheduleExpiry();
        tellReadiness();
    }

    private void scheduleExpiry() {
        if (fleet.hasDoubtful()) {
            loop.schedule(this::expire, Fleet.REAPPEAR_MILLIS / 4, TimeUnit.MILLISECONDS);
        }
    }

    private void expire() {
        if (fleet.expire(millis())) {
            publishFleet();
        } else {
            scheduleExpiry();
        }
    }

    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(ticker.read());
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
        public void onTold(HostId host, WatchedTable.Reading changes, Duration asked, Duration age) {
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
                    asked.toMillis(),
                    "age_ms",
                    age.toMillis());
        }

        @Override
        public void onPassedOver(HostId host, Duration asked, String reason) {
            log.write(
                    RelayEvent.WATCHER,
                    "host",
                    host,
                    "table",
                    table,
                    "state",
                    "passed over",
                    "asked_ms",
                    asked.toMillis(),
                    "reason",
                    reason);
        }
    }
}
