package org.boragebarrow.decision.retry;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Stops requests to a target that keeps failing and probes it with single requests until one succeeds.
 *
 * <p>Not thread-safe. Initially closed; opens after {@link #FAILURE_LIMIT} consecutive failures; each failed probe
 * doubles the delay before the next one, up to a bound.
 */
public final class CircuitBreaker {
    /** The number of consecutive failures that open a breaker. */
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

    /** Records that a request was sent; if the breaker is open, it is the only probe until it ends. */
    public void onSent(long nowNanos) {
        if (!open) {
            return;
        }
        checkArgument(allows(nowNanos), "breaker open until %s, but request sent at %s", probeAtNanos, nowNanos);
        probing = true;
        // The timeout allows another probe if the outcome of this one never arrives.
        probeAtNanos = nowNanos + PROBE_LIMIT.toNanos();
    }

    /** Records that the target answered a request. */
    public void onSuccess() {
        failures = 0;
        open = false;
        probing = false;
        pauseNanos = FIRST_PAUSE.toNanos();
    }

    /** Records that a request to the target failed. */
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

    /** Records that the probe ended without a conclusion about the target; another one may be sent at once. */
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
