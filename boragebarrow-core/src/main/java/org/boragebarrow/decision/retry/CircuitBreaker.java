package org.boragebarrow.decision.retry;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Stops work towards a target that keeps failing and probes it with single requests until one succeeds.
 *
 * <p>Not thread-safe. Closed at first; opens after consecutive failures; each failed probe doubles the time until the
 * next one.
 */
public final class CircuitBreaker {
    /** The consecutive failures that open a breaker. */
    public static final int FAILURE_LIMIT = 5;

    private static final Duration FIRST_PAUSE = Duration.ofSeconds(1);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);
    private static final Duration PROBE_LIMIT = Duration.ofSeconds(30);

    private int failures;
    private boolean open;
    private boolean probing;
    private long probeAtNanos;
    private long pauseNanos = FIRST_PAUSE.toNanos();

    /** Returns whether one more request may be sent now. */
    public boolean allows(long nowNanos) {
        return !open || nowNanos - probeAtNanos >= 0;
    }

    /** Notes that a request was sent; in an open breaker it is the probe, and no other follows until it ends. */
    public void onSent(long nowNanos) {
        if (!open) {
            return;
        }
        checkArgument(allows(nowNanos), "open until %s, sent at %s", probeAtNanos, nowNanos);
        probing = true;
        // A probe whose outcome never arrives must not keep the breaker open for good.
        probeAtNanos = nowNanos + PROBE_LIMIT.toNanos();
    }

    /** Notes that the target answered a request. */
    public void onSuccess() {
        failures = 0;
        open = false;
        probing = false;
        pauseNanos = FIRST_PAUSE.toNanos();
    }

    /** Notes that the target failed a request. */
    public void onFailure(long nowNanos) {
        failures++;
        if (open && !probing) {
            return;
        }
        if (open) {
            pauseNanos = Math.min(2 * pauseNanos, LONGEST_PAUSE.toNanos());
        }
        if (open || failures >= FAILURE_LIMIT) {
            open = true;
            probing = false;
            probeAtNanos = nowNanos + pauseNanos;
        }
    }

    /** Notes that the probe ended without telling anything about the target. */
    public void onInconclusive(long nowNanos) {
        if (open && probing) {
            probing = false;
            probeAtNanos = nowNanos;
        }
    }

    /** Returns whether the breaker is open. */
    public boolean isOpen() {
        return open;
    }
}
