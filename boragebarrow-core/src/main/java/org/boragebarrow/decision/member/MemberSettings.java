package org.boragebarrow.decision.member;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Periods and timeouts of membership.
 *
 * @param heartbeat between two heartbeats to each host of the zone, and between two questions about a suspect
 * @param suspicionTimeout the silence after which a host is suspected
 * @param deathTimeout the silence after which a suspected host is ended
 * @param digest between two digests to each other zone
 * @param summary between two summaries to other zones
 * @param zoneTimeout the silence after which a zone counts as not heard
 * @param probe between two rounds of probes to addresses where no live host is known
 * @param refresh between two full digests when nothing changes
 * @param endedRetention how long ended lives are remembered
 */
public record MemberSettings(
        Duration heartbeat,
        Duration suspicionTimeout,
        Duration deathTimeout,
        Duration digest,
        Duration summary,
        Duration zoneTimeout,
        Duration probe,
        Duration refresh,
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
        checkArgument(heartbeat.toMillis() > 0, "heartbeat period must be positive: %s", heartbeat);
        checkArgument(
                suspicionTimeout.compareTo(heartbeat.multipliedBy(2)) >= 0,
                "suspicion timeout %s must be at least two heartbeat periods of %s",
                suspicionTimeout,
                heartbeat);
        checkArgument(
                deathTimeout.compareTo(suspicionTimeout.plus(heartbeat.multipliedBy(2))) >= 0,
                "death timeout %s must leave two heartbeat periods after the suspicion timeout %s",
                deathTimeout,
                suspicionTimeout);
        checkArgument(digest.toMillis() > 0, "digest period must be positive: %s", digest);
        checkArgument(summary.toMillis() > 0, "summary period must be positive: %s", summary);
        checkArgument(
                zoneTimeout.compareTo(deathTimeout.plus(digest)) >= 0,
                "zone timeout %s must cover the loss of a bridge, %s and %s",
                zoneTimeout,
                deathTimeout,
                digest);
        checkArgument(probe.toMillis() > 0, "probe period must be positive: %s", probe);
        checkArgument(refresh.compareTo(digest) >= 0, "refresh period %s is below the digest period", refresh);
        checkArgument(
                endedRetention.compareTo(zoneTimeout) >= 0,
                "ended lives must be remembered for longer than %s",
                endedRetention);
    }

    /** Returns the settings that find a killed host within 3 s. */
    public static MemberSettings defaults() {
        return DEFAULTS;
    }
}
