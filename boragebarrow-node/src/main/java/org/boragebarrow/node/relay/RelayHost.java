package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.decision.retry.RetryShare;
import org.boragebarrow.decision.routing.CallerLimits;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.decision.routing.RoutingFollower;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.http.server.ServerLimits;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.Incarnation;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.assign.RegionAssignments;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.settings.RelaySettings;
import org.boragebarrow.node.watch.SharedTable;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.node.watch.TableSharing;
import org.boragebarrow.peer.link.PeerIdentity;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Reading;
import org.boragebarrow.port.WatchedTable.Row;

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

    private static final Duration FIRST_RETRY = Duration.ofMillis(100);

    /** Longest pause between two calls of a store that fails: a second of 2 in which a change must be in force. */
    private static final Duration LONGEST_RETRY = Duration.ofMillis(800);

    /** Changes this close together are read in one call; a tenth of the time in which the shortest of them must bind. */
    private static final Duration CHANGE_REST = Duration.ofMillis(200);

    /** Hosts that start together are read in one call; without word of one another each assigns alone meanwhile. */
    private static final Duration HOST_REST = Duration.ofSeconds(2);

    /** How long a host that stops takes new requests: the balancer needs two of its probes, a second apart, and a bit. */
    private static final Duration STOP_ACCEPTING_AFTER = Duration.ofMillis(3_300);

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
    private final Decoders decoders;
    private final Ticker ticker = Ticker.systemTicker();
    private final RandomGenerator random;
    private final RetryShare retries;
    private final Relay relay;
    private final TableFollower routingFollower;
    private final TableFollower fleetFollower;
    private final TableFollower hostFollower;
    private volatile boolean fleetRead;
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
        this.decoders = tables.decoders();
        this.log = checkNotNull(log);
        HostLife self = HostLife.of(settings.id(), incarnation);
        this.assignments = new RegionAssignments(
                new RegionAssignments.Identity(new PeerIdentity(self, settings.zone()), settings.peers()),
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
        this.routingFollower = new TableFollower(loop, sharedRouting, backoff(), CHANGE_REST, new RoutingListener());
        this.fleetFollower = new TableFollower(loop, sharedFleet, backoff(), CHANGE_REST, new FleetListener());
        this.hostFollower = new TableFollower(loop, tables.hosts(), backoff(), HOST_REST, assignments.directory());
        metrics.gauge("boragebarrow.requests.open", relay::inProgress);
        metrics.gauge("boragebarrow.log.dropped", log::dropped);
    }

    /** The tables of the store that a host follows, and how they are read. */
    public record Tables(WatchedTable routing, WatchedTable fleet, WatchedTable hosts, Decoders decoders) {}

    private SharedTable shared(WatchedTable table) {
        return new SharedTable(table, settings.id(), loop, ticker, new TablePeers());
    }

    private Backoff backoff() {
        return new Backoff(FIRST_RETRY, LONGEST_RETRY, random);
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
        return routing.current().isPresent() && fleetRead && !stopping;
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

    private void logLost(String table, String reason) {
        log.write(RelayEvent.LOST, "dependency", "store", "table", table, "reason", reason);
    }

    private void logRegained(String table) {
        log.write(RelayEvent.REGAINED, "dependency", "store", "table", table);
    }

    private final class TablePeers implements SharedTable.Peers {
        @Override
        public void send(HostId host, Envelope message) {
            assignments.send(host, message);
        }

        @Override
        public void onPassedOver(HostId host, String table, Duration asked, String reason) {
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

    private final class RoutingListener implements TableFollower.Listener {
        private static final String TABLE = "routing";

        @Override
        public void onReading(Reading reading) {
            onChanges(reading);
        }

        @Override
        public void onChanges(Reading changes) {
            for (Row row : changes.rows()) {
                if (!row.removed()) {
                    take(row);
                }
            }
        }

        private void take(Row row) {
            RoutingTable table;
            try {
                table = decoders.routing(row).orElse(null);
            } catch (IllegalArgumentException e) {
                log.write(RelayEvent.UNUSABLE, "table", TABLE, "key", row.key(), "reason", e.getMessage());
                return;
            }
            if (table == null) {
                return;
            }
            boolean newer = routing.offer(table);
            log.write(
                    RelayEvent.ROUTING,
                    "version",
                    table.version(),
                    "row_version",
                    row.version(),
                    "routes",
                    table.size(),
                    "taken",
                    newer);
            if (newer) {
                assignments.setProfiles(profiles(table));
                tellReadiness();
            }
        }

        private ImmutableMap<ServiceName, EngineProfile> profiles(RoutingTable table) {
            ImmutableMap.Builder<ServiceName, EngineProfile> profiles = ImmutableMap.builder();
            table.services()
                    .forEach(service -> service.engine().ifPresent(engine -> profiles.put(service.name(), engine)));
            return profiles.build();
        }

        @Override
        public void onLost(String reason) {
            logLost(TABLE, reason);
        }

        @Override
        public void onRegained() {
            logRegained(TABLE);
        }
    }

    private final class FleetListener implements TableFollower.Listener {
        private static final String TABLE = "fleet";

        @Override
        public void onReading(Reading reading) {
            ImmutableList.Builder<FleetTarget> targets = ImmutableList.builder();
            for (Row row : reading.rows()) {
                try {
                    targets.add(decoders.target(row));
                } catch (IllegalArgumentException e) {
                    logUnusable(row, e);
                }
            }
            fleet.replace(targets.build(), millis());
            fleetRead = true;
            log.write(RelayEvent.TARGET, "read", reading.rows().size(), "row_version", reading.version());
            publishFleet();
        }

        @Override
        public void onChanges(Reading changes) {
            changes.rows().forEach(this::take);
            if (!changes.rows().isEmpty()) {
                publishFleet();
            }
        }

        private void take(Row row) {
            if (row.removed()) {
                log.write(RelayEvent.TARGET, "target", row.key(), "state", "removed", "row_version", row.version());
                remove(row);
                return;
            }
            try {
                FleetTarget target = decoders.target(row);
                log.write(
                        RelayEvent.TARGET,
                        "target",
                        target.id(),
                        "at",
                        target.endpoint(),
                        "service",
                        target.service(),
                        "state",
                        target.draining() ? "draining" : "ready",
                        "row_version",
                        row.version());
                fleet.put(target);
            } catch (IllegalArgumentException e) {
                logUnusable(row, e);
                remove(row);
            }
        }

        private void remove(Row row) {
            if (Ids.isValid(row.key())) {
                fleet.remove(TargetId.of(row.key()), millis());
            }
        }

        private void logUnusable(Row row, IllegalArgumentException reason) {
            log.write(RelayEvent.UNUSABLE, "table", TABLE, "key", row.key(), "reason", reason.getMessage());
        }

        @Override
        public void onLost(String reason) {
            fleet.tableLost();
            logLost(TABLE, reason);
        }

        @Override
        public void onRegained() {
            fleet.tableAnswered(millis());
            logRegained(TABLE);
        }
    }
}
