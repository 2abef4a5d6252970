package org.boragebarrow.node.relay;

import java.time.Duration;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

/** Counts the calls to the store of a zone of 20 hosts that follows one table. */
class StoreCallsTest {
    private static final int HOSTS = 20;
    private static final int CONFIGURATION_BYTES = 67_000;
    private static final Duration MAX_TIME_TO_EFFECT = Duration.ofSeconds(3);

    private final SimulatedZone zone = new SimulatedZone(HOSTS, 14, 5);

    private int callsDuring(Duration time) {
        int before = zone.storeCalls();
        zone.advance(time);
        return zone.storeCalls() - before;
    }

    @Example
    void aZoneAtRestMakesLittleMoreThanOneCallASecond() {
        assertThat(callsDuring(Duration.ofSeconds(30))).isAtMost(40);
    }

    @Example
    void aStartingHostReadsTheTableOnceAndThenAsksItsZone() {
        SimulatedZone started = new SimulatedZone(HOSTS, 14, 6);

        // All hosts read the table; in the first seconds the watcher and the hosts that it does not answer yet call
        // again.
        assertThat(started.storeCalls()).isAtMost(2 * HOSTS);
    }

    @Example
    void aSmallChangeOfALargeVersionIsReadOnceForTheZone() {
        zone.write(CONFIGURATION_BYTES);
        zone.advance(Duration.ofSeconds(5));
        int atRest = callsDuring(Duration.ofSeconds(5));
        long written = zone.nowMillis();
        zone.edit();

        assertThat(callsDuring(Duration.ofSeconds(5))).isAtMost(atRest + 2);
        assertThat(zone.slowestDelivery(written)).isAtMost(MAX_TIME_TO_EFFECT);
    }

    @Example
    void smallChangesInQuickSuccessionAreNotReadByEachHost() {
        zone.write(CONFIGURATION_BYTES);
        zone.advance(Duration.ofSeconds(5));
        long written = 0;
        int before = zone.storeCalls();
        for (int i = 0; i < 25; i++) {
            written = zone.nowMillis();
            zone.edit();
            zone.advance(Duration.ofMillis(80));
        }
        zone.advance(Duration.ofSeconds(3));

        assertThat(zone.storeCalls() - before).isAtMost(2 * HOSTS);
        assertThat(zone.slowestDelivery(written)).isAtMost(MAX_TIME_TO_EFFECT);
        assertThat(zone.maxUplinkWait()).isAtMost(Duration.ofMillis(200));
    }
}
