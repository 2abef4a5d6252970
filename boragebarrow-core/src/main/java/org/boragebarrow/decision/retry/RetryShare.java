package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One host's part of the repeats that all hosts together may send to a service within a sliding window.
 *
 * <p>Not thread-safe. The part follows the host's own requests, which needs no word from other hosts, plus an even part
 * of what is allowed at any load. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: many targets fail at once and every host wants to repeat most of its requests.
 */
public final class RetryShare {
    /** The part of the allowed ratio that is used; the rest covers windows that cut a burst in two. */
    private static final double USED_RATIO = 0.6;

    /** The part of the fixed allowance that is shared out; the rest covers hosts that come and go. */
    private static final double USED_ALLOWANCE = 0.6;

    private double ratio;
    private double allowance;
    private long windowNanos;
    private final Map<ServiceName, Deque<Long>> requests = new HashMap<>();
    private final Map<ServiceName, Deque<Long>> repeats = new HashMap<>();
    private int hosts;

    /**
     * Creates a share.
     *
     * @param ratio repeats that all hosts may send for each request
     * @param allowance repeats that all hosts may send beyond that in a window
     * @param hosts the number of hosts until {@link #setHosts} tells a better one
     */
    public RetryShare(double ratio, double allowance, Duration window, int hosts) {
        checkArgument(hosts > 0, "hosts must be positive: %s", hosts);
        this.hosts = hosts;
        setTerms(ratio, allowance, window);
    }

    /** Sets what all hosts together may send; repeats that were sent before count as well. */
    public void setTerms(double newRatio, double newAllowance, Duration newWindow) {
        checkArgument(newRatio >= 0, "negative ratio: %s", newRatio);
        checkArgument(newAllowance >= 0, "negative allowance: %s", newAllowance);
        ratio = newRatio;
        allowance = newAllowance;
        windowNanos = newWindow.toNanos();
    }

    /** Sets the number of hosts that share the allowance. */
    public void setHosts(int number) {
        checkArgument(number > 0, "hosts must be positive: %s", number);
        hosts = number;
    }

    /** Counts a caller's request. */
    public void onRequest(ServiceName service, long now) {
        recent(requests, service, now).addLast(now);
    }

    /** Takes one repeat; returns false, and takes nothing, if the share is used up. */
    public boolean tryRepeat(ServiceName service, long now) {
        Deque<Long> sent = recent(repeats, service, now);
        double earned = USED_RATIO * ratio * recent(requests, service, now).size();
        if (sent.size() + 1 > earned + USED_ALLOWANCE * allowance / hosts) {
            return false;
        }
        sent.addLast(now);
        return true;
    }

    private Deque<Long> recent(Map<ServiceName, Deque<Long>> times, ServiceName service, long now) {
        Deque<Long> kept = times.computeIfAbsent(checkNotNull(service), name -> new ArrayDeque<>());
        while (!kept.isEmpty() && now - kept.peekFirst() > windowNanos) {
            kept.removeFirst();
        }
        return kept;
    }
}
