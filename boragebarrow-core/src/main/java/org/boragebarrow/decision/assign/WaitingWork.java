package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;

/**
 * The work that waits for a target, and the order in which it is reconsidered.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class WaitingWork {
    /**
     * Minimum interval between reviews of the queued long prompts, which weigh many targets each; a small fraction of
     * the time for which such a prompt waits.
     */
    private static final Duration LONG_REVIEW_INTERVAL = Duration.ofMillis(15);

    private final Map<AttemptId, QueuedWork> queue = new LinkedHashMap<>();
    private Optional<Long> longReviewedAt = Optional.empty();

    void add(Work work, boolean isLong, long now) {
        queue.put(work.id(), new QueuedWork(work, now, isLong));
    }

    /** Removes work; returns whether it was queued. */
    boolean remove(AttemptId id) {
        return queue.remove(id) != null;
    }

    void removeAllOf(HostId host) {
        queue.keySet().removeIf(id -> id.owner().host().equals(host));
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    long count(ServiceName service) {
        return queue.values().stream()
                .filter(queued -> queued.work().service().equals(service))
                .count();
    }

    /** Returns the work to reconsider now, in order: long prompts are reconsidered at intervals. */
    List<QueuedWork> due(long now) {
        boolean reviewsLong = longReviewedAt
                .map(last -> now - last >= LONG_REVIEW_INTERVAL.toNanos())
                .orElse(true);
        if (reviewsLong) {
            longReviewedAt = Optional.of(now);
        }
        List<QueuedWork> order = new ArrayList<>(queue.size());
        for (QueuedWork work : queue.values()) {
            if (reviewsLong || !work.isLong()) {
                order.add(work);
            }
        }
        order.sort(Comparator.comparingInt((QueuedWork work) -> work.rank(now))
                .thenComparingDouble(work -> work.slackMillis(now)));
        return order;
    }
}
