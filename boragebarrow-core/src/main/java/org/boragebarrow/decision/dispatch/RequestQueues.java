package org.boragebarrow.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkState;

/** Indexes all queued requests by attempt, deadline and organisation; the pools hold the queues that order them. */
final class RequestQueues {
    private final DispatchSettings settings;
    private final Map<AttemptId, Entry> byAttempt = new HashMap<>();
    private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);
    private final Map<OrganisationId, Integer> sizeByOrganisation = new HashMap<>();

    RequestQueues(DispatchSettings settings) {
        this.settings = settings;
    }

    /** Returns whether the zone or the organisation has reached its limit of queued requests. */
    boolean isFull(OrganisationId organisation) {
        return byAttempt.size() >= settings.bounds().maxQueued()
                || sizeByOrganisation.getOrDefault(organisation, 0)
                        >= settings.bounds().maxQueuedPerOrganisation();
    }

    boolean contains(AttemptId attempt) {
        return byAttempt.containsKey(attempt);
    }

    Optional<QueuedRequest> get(AttemptId attempt) {
        Entry entry = byAttempt.get(attempt);
        return entry == null ? Optional.empty() : Optional.of(entry.queued);
    }

    /** Adds a prompt to the queue with the given index of its pool. */
    void add(QueuedRequest queued, ModelPool pool, int index, int weight) {
        pool.enqueue(index, queued, weight, settings.policy().isClassAware());
        add(queued, new PromptLocation(pool, index));
    }

    /** Adds a service call to its pool's queue. */
    void add(QueuedRequest queued, ServicePool pool, int weight) {
        pool.queue.add(queued, weight);
        add(queued, new ServiceCallLocation(pool));
    }

    /** Removes a granted request from all queues. */
    void grant(QueuedRequest queued) {
        switch (removeFromIndex(queued)) {
            case PromptLocation p -> p.pool.grant(p.index, queued);
            case ServiceCallLocation c -> c.pool.queue.grant(queued);
        }
    }

    /** Removes a request that is not granted from all queues. */
    void remove(QueuedRequest queued) {
        switch (removeFromIndex(queued)) {
            case PromptLocation p -> p.pool.remove(p.index, queued);
            case ServiceCallLocation c -> c.pool.queue.remove(queued);
        }
    }

    /** Returns the request with the earliest deadline if that deadline has passed. */
    Optional<QueuedRequest> firstExpired(long nowNanos) {
        if (byDeadline.isEmpty() || byDeadline.first().request.deadlineNanos() - nowNanos > 0) {
            return Optional.empty();
        }
        return Optional.of(byDeadline.first());
    }

    /** Returns the queued requests of a front. Scans all queued requests, as fronts are rarely lost. */
    ImmutableList<QueuedRequest> ofFront(HostIncarnation front) {
        List<QueuedRequest> found = new ArrayList<>();
        for (QueuedRequest q : byDeadline) {
            if (q.request.attempt().owner().equals(front)) {
                found.add(q);
            }
        }
        return ImmutableList.copyOf(found);
    }

    int size() {
        return byAttempt.size();
    }

    private void add(QueuedRequest queued, QueueLocation location) {
        Entry earlier = byAttempt.put(queued.request.attempt(), new Entry(queued, location));
        checkState(earlier == null, "%s is queued twice", queued.request.attempt());
        byDeadline.add(queued);
        sizeByOrganisation.merge(queued.request.organisation(), 1, Integer::sum);
    }

    private QueueLocation removeFromIndex(QueuedRequest queued) {
        Entry entry = byAttempt.remove(queued.request.attempt());
        checkState(entry != null && entry.queued == queued, "%s is not queued", queued.request.attempt());
        byDeadline.remove(queued);
        sizeByOrganisation.computeIfPresent(queued.request.organisation(), (o, n) -> n == 1 ? null : n - 1);
        return entry.location;
    }

    private record Entry(QueuedRequest queued, QueueLocation location) {}

    private sealed interface QueueLocation {}

    private record PromptLocation(ModelPool pool, int index) implements QueueLocation {}

    private record ServiceCallLocation(ServicePool pool) implements QueueLocation {}
}
