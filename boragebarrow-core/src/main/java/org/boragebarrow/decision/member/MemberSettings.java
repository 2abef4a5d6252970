package org.boragebarrow.decision.member;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Intervals and timeouts of the membership protocol.
 *
 * @param heartbeat the interval of heartbeats to each host of the zone, and of suspicions of an unresponsive host
 * @param suspicionTimeout the time without contact after which a host is suspected
 * @param deathTimeout the time without contact after which a suspected host is ended
 * @param digest the interval of digests to each other zone
 * @param summary the shortest time between two summaries to other zones
 * @param zoneTimeout the time without digests after which a zone is considered unresponsive
 * @param probe the interval of probes to addresses where no live host is known
 * @param refresh the interval of full digests while the members do not change
 * @param endedRetention how long ended incarnations are kept
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
        checkArgument(heartbeat.toMillis() > 0, "heartbeat interval must be positive: %s", heartbeat);
        checkArgument(
                suspicionTimeout.compareTo(heartbeat.multipliedBy(2)) >= 0,
                "suspicion timeout %s must be at least two heartbeat intervals of %s",
                suspicionTimeout,
                heartbeat);
        checkArgument(
                deathTimeout.compareTo(suspicionTimeout.plus(heartbeat.multipliedBy(2))) >= 0,
                "death timeout %s must exceed the suspicion timeout %s by at least two heartbeat intervals",
                deathTimeout,
                suspicionTimeout);
        checkArgument(digest.toMillis() > 0, "digest interval must be positive: %s", digest);
        checkArgument(summary.toMillis() > 0, "summary interval must be positive: %s", summary);
        checkArgument(
                zoneTimeout.compareTo(deathTimeout.plus(digest)) >= 0,
                "zone timeout %s must cover the loss of a bridge: death timeout %s plus digest interval %s",
                zoneTimeout,
                deathTimeout,
                digest);
        checkArgument(probe.toMillis() > 0, "probe interval must be positive: %s", probe);
        checkArgument(refresh.compareTo(digest) >= 0, "refresh interval %s is below the digest interval", refresh);
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
