package org.boragebarrow.decision.member;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Intervals and timeouts of the membership protocol.
 *
 * @param heartbeatInterval the interval of heartbeats to each host of the zone, and of suspicions of a host
 * @param suspicionTimeout the time without contact after which a host is suspected
 * @param deathTimeout the time without contact after which a suspected host is ended
 * @param digestInterval the interval of digests to each other zone
 * @param summaryInterval the shortest time between two summaries to other zones
 * @param zoneTimeout the time without digests after which a zone is considered unresponsive
 * @param probeInterval the interval of probes to addresses where no live host is known
 * @param refreshInterval the interval of full digests while the members do not change
 * @param endedRetention how long ended incarnations are kept
 */
public record MemberSettings(
        Duration heartbeatInterval,
        Duration suspicionTimeout,
        Duration deathTimeout,
        Duration digestInterval,
        Duration summaryInterval,
        Duration zoneTimeout,
        Duration probeInterval,
        Duration refreshInterval,
        Duration endedRetention) {
    private static final MemberSettings DEFAULTS = new MemberSettings(
            Duration.ofMillis(500),
            Duration.ofMillis(1_200),
            Duration.ofMillis(2_700),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            Duration.ofHours(1));

    public MemberSettings {
        checkArgument(heartbeatInterval.toMillis() > 0, "heartbeat interval must be positive: %s", heartbeatInterval);
        checkArgument(
                suspicionTimeout.compareTo(heartbeatInterval.multipliedBy(2)) >= 0,
                "suspicion timeout %s must be at least two heartbeat intervals of %s",
                suspicionTimeout,
                heartbeatInterval);
        checkArgument(
                deathTimeout.compareTo(suspicionTimeout.plus(heartbeatInterval.multipliedBy(2))) >= 0,
                "death timeout %s must exceed the suspicion timeout %s by at least two heartbeat intervals",
                deathTimeout,
                suspicionTimeout);
        checkArgument(digestInterval.toMillis() > 0, "digest interval must be positive: %s", digestInterval);
        checkArgument(summaryInterval.toMillis() > 0, "summary interval must be positive: %s", summaryInterval);
        checkArgument(
                zoneTimeout.compareTo(deathTimeout.plus(digestInterval)) >= 0,
                "zone timeout %s must cover the loss of a bridge: death timeout %s plus digest interval %s",
                zoneTimeout,
                deathTimeout,
                digestInterval);
        checkArgument(probeInterval.toMillis() > 0, "probe interval must be positive: %s", probeInterval);
        checkArgument(
                refreshInterval.compareTo(digestInterval) >= 0,
                "refresh interval %s is below the digest interval",
                refreshInterval);
        checkArgument(
                endedRetention.compareTo(zoneTimeout) >= 0,
                "retention time %s of ended incarnations must not be below the zone timeout",
                endedRetention);
    }

    /** Returns the settings that detect a killed host within 3 s. */
    public static MemberSettings defaults() {
        return DEFAULTS;
    }
}
