package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.decision.watch.StoreEras;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.port.WatchedTable;

/** Follows the three tables of the store that a host needs, with their timing. Methods may be called from any thread. */
final class StoreFollowers {
    static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);

    /** Maximum delay between two calls to a failing store: one second of the 2 s in which a change must take effect. */
    static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    /**
     * How the routing and fleet tables are polled. A call that was sent to a store before it became unresponsive is
     * never answered, and the store's guarantees hold again 3 s after its recovery: the call fails just before that,
     * after the wait plus the time that the store's client allows for the call itself. The pause after a change is a
     * tenth of the 2 s in which the most urgent changes must take effect.
     */
    static final TableFollower.PollTiming CONFIGURATION_TIMING =
            new TableFollower.PollTiming(Duration.ofMillis(1_700), Duration.ofMillis(200));

    /**
     * The delay after changes of the fleet until the host is ready for the first time: when a fleet starts, its targets
     * register one after the other, and each host would read each of them by itself. Within the time in which a drain
     * must take effect.
     */
    private static final Duration FLEET_DELAY_WHILE_STARTING = Duration.ofMillis(1_000);

    /**
     * How the hosts table is polled. A host that no other host reaches learns of a quarantine only there, within half of
     * the shortest time in which it has to take effect; the store lets a call wait for 30 s at most.
     */
    private static final TableFollower.PollTiming HOSTS_TIMING =
            new TableFollower.PollTiming(Duration.ofSeconds(25), Duration.ofMillis(1_500));

    /** Maximum delay between two calls for the hosts table; a host without peers assigns its own requests. */
    private static final Duration MAX_HOSTS_RETRY_DELAY = Duration.ofSeconds(3);

    /**
     * The time over which the hosts spread their reads after the store has come back from an older copy; a tenth of the 2 s in which
     * the most urgent changes must take effect.
     */
    private static final Duration MAX_READ_DELAY_IN_NEW_ERA = Duration.ofMillis(200);

    private final EventLoop loop;
    private final RandomGenerator random;
    private final TableFollower fleet;
    private final ImmutableList<TableFollower> all;
    private volatile int newEras;

    /** A table and what receives its rows. */
    record Followed(WatchedTable table, TableFollower.Listener listener) {}

    StoreFollowers(
            EventLoop loop,
            RandomGenerator random,
            StoreEras eras,
            Followed routing,
            Followed targets,
            Followed hosts) {
        this.loop = loop;
        this.random = random;
        this.fleet = follower(targets, MAX_RETRY_DELAY, CONFIGURATION_TIMING);
        fleet.setDelayAfterChanges(FLEET_DELAY_WHILE_STARTING);
        this.all = ImmutableList.of(
                follower(routing, MAX_RETRY_DELAY, CONFIGURATION_TIMING),
                fleet,
                follower(hosts, MAX_HOSTS_RETRY_DELAY, HOSTS_TIMING));
        eras.addListener(era -> loop.execute(this::onNewEra));
    }

    private TableFollower follower(Followed followed, Duration maxDelay, TableFollower.PollTiming timing) {
        Backoff backoff = new Backoff(MIN_RETRY_DELAY, maxDelay, random);
        return new TableFollower(loop, followed.table(), backoff, timing, followed.listener());
    }

    void start() {
        all.forEach(follower -> loop.execute(follower::start));
    }

    /** Makes the next calls at once, for use after the store's address has changed. */
    void restartCalls() {
        all.forEach(follower -> loop.execute(follower::restartCall));
    }

    /** Ends the longer delay after changes of the fleet, as the host has been ready. */
    void endStart() {
        loop.execute(() -> fleet.setDelayAfterChanges(CONFIGURATION_TIMING.delayAfterChanges()));
    }

    void stop() {
        all.forEach(TableFollower::stop);
    }

    /** Returns how often the store has come back from an older copy. */
    int newEras() {
        return newEras;
    }

    /** Reads all tables again after the store has come back from an older copy. */
    private void onNewEra() {
        newEras++;
        for (TableFollower follower : all) {
            follower.readAgain(Duration.ofNanos(random.nextLong(MAX_READ_DELAY_IN_NEW_ERA.toNanos())));
        }
    }
}
