package org.boragebarrow.node.relay;

import java.time.Duration;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

/** Replays changes of a table to the hosts of a large zone with links of 14 Mbit/s, the weakest that are in use. */
class ZoneReplayTest {
    private static final int HOSTS = 34;
    private static final double MEGABITS = 14;

    /** The size of 249 routes. */
    private static final int USUAL_BYTES = 67_000;

    /** The size of 1,569 routes. */
    private static final int LARGE_BYTES = 425_000;

    /** The time in which a change must bind on hosts that reach the store, of the grown deployments. */
    private static final Duration IN_FORCE = Duration.ofSeconds(3);

    /** How late an event of a stream may be passed on, of the grown deployments. */
    private static final Duration PASSED_ON = Duration.ofMillis(200);

    @Example
    void tellingOthersOfALargeVersionDoesNotHoldUpAHostsOwnCallers() {
        SimulatedZone zone = new SimulatedZone(HOSTS, MEGABITS, 1);
        long written = zone.nowMillis();
        zone.write(LARGE_BYTES);
        zone.pass(Duration.ofSeconds(10));

        assertThat(zone.slowest(written)).isAtMost(IN_FORCE);
        assertThat(zone.longestQueue()).isAtMost(PASSED_ON);
    }

    @Example
    void versionsInQuickSuccessionDoNotHoldUpAHostsOwnCallers() {
        SimulatedZone zone = new SimulatedZone(HOSTS, MEGABITS, 2);
        long written = 0;
        for (int i = 0; i < 12; i++) {
            written = zone.nowMillis();
            zone.write(USUAL_BYTES);
            zone.pass(Duration.ofMillis(330));
        }
        zone.pass(Duration.ofSeconds(10));

        assertThat(zone.slowest(written)).isAtMost(IN_FORCE);
        assertThat(zone.longestQueue()).isAtMost(PASSED_ON);
    }
}
