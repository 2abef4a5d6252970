package org.boragebarrow.decision.retry;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Stops requests to a target that keeps failing and probes it with single requests until one succeeds.
 *
 * <p>Not thread-safe. Initially closed; opens after {@link #FAILURE_THRESHOLD} consecutive failures; each failed probe
 * doubles the delay before the next one, up to a bound.
 */
public final class CircuitBreaker {
    /** The number of consecutive failures that open a breaker. */
    public static final int FAILURE_THRESHOLD = 5;

    private static final Duration INITIAL_PROBE_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(30);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(30);

    private int failures;
    private boolean open;
    private boolean probing;
    private long nextProbeNanos;
    private long probeDelayNanos = INITIAL_PROBE_DELAY.toNanos();

    /** Returns whether one more request may be sent now. */
    public boolean allows(long nowNanos) {
        return !open || nowNanos - nextProbeNanos >= 0;
    }

    /** Records that a request was sent; if the breaker is open, it is the only probe until it ends. */
    public void onSent(long nowNanos) {
        if (!open) {
            return;
        }
        checkArgument(allows(nowNanos), "breaker open until %s, but request sent at %s", nextProbeNanos, nowNanos);
        probing = true;
        // The timeout allows another probe if the outcome of this one never arrives.
        nextProbeNanos = nowNanos + PROBE_TIMEOUT.toNanos();
    }

    /** Records that the target answered a request. */
    public void onSuccess() {
        failures = 0;
        open = false;
        probing = false;
        probeDelayNanos = INITIAL_PROBE_DELAY.toNanos();
    }

    /** Records that a request to the target failed. */
    public void onFailure(long nowNanos) {
        failures++;
        if (open && !probing) {
            return;
        }
        if (open) {
            probeDelayNanos = Math.min(2 * probeDelayNanos, MAX_PROBE_DELAY.toNanos());
        }
        if (open || failures >= FAILURE_THRESHOLD) {
            open = true;
            probing = false;
            nextProbeNanos = nowNanos + probeDelayNanos;
        }
    }

    /** Records that the probe ended without a conclusion about the target; another one may be sent at once. */
    public void onInconclusive(long nowNanos) {
        if (open && probing) {
            probing = false;
            nextProbeNanos = nowNanos;
        }
    }

    /** Returns whether the breaker is open. */
    public boolean isOpen() {
        return open;
    }
}
