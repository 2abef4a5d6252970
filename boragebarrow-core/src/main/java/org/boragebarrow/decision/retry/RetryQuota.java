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
 * Limits the retries that one host sends to a service, so that all hosts together stay within a bound in each sliding
 * window.
 *
 * <p>Not thread-safe. The quota of a host is a ratio of its own requests, which needs no communication with other
 * hosts, plus an equal share of a slack that is allowed at any load. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: many targets fail at once and each host would retry most of its requests.
 */
public final class RetryQuota {
    /** The fraction of the allowed ratio that is used; the rest covers bursts that span two windows. */
    private static final double RATIO_FRACTION = 0.6;

    /** The fraction of the slack that is divided among the hosts; the rest covers hosts that join and leave. */
    private static final double SLACK_FRACTION = 0.6;

    /** The fraction of the quota beyond which it is kept for requests that fail. */
    private static final double DUPLICATES_FRACTION = 0.5;

    private double ratio;
    private double slack;
    private long windowNanos;
    private final Map<ServiceName, Deque<Long>> requestTimes = new HashMap<>();
    private final Map<ServiceName, Deque<Long>> retryTimes = new HashMap<>();
    private int hostCount;
    private boolean hostCountKnown;
    private boolean duplicatesAllowed;

    /**
     * Creates a quota.
     *
     * @param ratio the retries per request that all hosts together may send
     * @param slack the retries that all hosts together may send in a window beyond that ratio
     * @param hostCount the initial number of hosts; {@link #setHostCount} replaces it
     */
    public RetryQuota(double ratio, double slack, Duration window, int hostCount) {
        checkArgument(hostCount > 0, "host count must be positive: %s", hostCount);
        this.hostCount = hostCount;
        setLimits(ratio, slack, window);
    }

    /** Sets the limits for all hosts together; they also apply to retries that were sent earlier. */
    public void setLimits(double newRatio, double newSlack, Duration newWindow) {
        checkArgument(newRatio >= 0, "negative ratio: %s", newRatio);
        checkArgument(newSlack >= 0, "negative slack: %s", newSlack);
        ratio = newRatio;
        slack = newSlack;
        windowNanos = newWindow.toNanos();
    }

    /** Sets the number of hosts that share the slack. */
    public void setHostCount(int newHostCount) {
        checkArgument(newHostCount > 0, "host count must be positive: %s", newHostCount);
        hostCount = newHostCount;
    }

    /** Sets whether the number of hosts has been read; no second copies are sent before. */
    public void setHostCountKnown(boolean known) {
        hostCountKnown = known;
    }

    /** Sets whether second copies of slow requests may be sent at all. */
    public void setDuplicatesAllowed(boolean allowed) {
        duplicatesAllowed = allowed;
    }

    /** Returns whether second copies of slow requests may be sent at all. */
    public boolean allowsDuplicates() {
        return duplicatesAllowed;
    }

    /** Records a caller's request. */
    public void onRequest(ServiceName service, long now) {
        recentTimes(requestTimes, service, now).addLast(now);
    }

    /** Records a retry if the quota allows one; returns false, and records nothing, if it is exhausted. */
    public boolean tryRetry(ServiceName service, long now) {
        Deque<Long> sent = recentTimes(retryTimes, service, now);
        if (sent.size() + 1 > limit(service, now)) {
            return false;
        }
        sent.addLast(now);
        return true;
    }

    /**
     * Records a second copy of a request that has not failed, as a retry, if more than half of the quota is left; returns
     * false, and records nothing, if it is not.
     */
    public boolean tryDuplicate(ServiceName service, long now) {
        if (!canDuplicate(service, now)) {
            return false;
        }
        recentTimes(retryTimes, service, now).addLast(now);
        return true;
    }

    /** Returns whether {@link #tryDuplicate} would record a copy. */
    public boolean canDuplicate(ServiceName service, long now) {
        int sent = recentTimes(retryTimes, service, now).size();
        return duplicatesAllowed && hostCountKnown && sent + 1 <= DUPLICATES_FRACTION * limit(service, now);
    }

    private double limit(ServiceName service, long now) {
        double earned =
                RATIO_FRACTION * ratio * recentTimes(requestTimes, service, now).size();
        return earned + SLACK_FRACTION * slack / hostCount;
    }

    private Deque<Long> recentTimes(Map<ServiceName, Deque<Long>> times, ServiceName service, long now) {
        Deque<Long> recent = times.computeIfAbsent(checkNotNull(service), name -> new ArrayDeque<>());
        while (!recent.isEmpty() && now - recent.peekFirst() > windowNanos) {
            recent.removeFirst();
        }
        return recent;
    }
}
