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
final class Queues {
    private final DispatchSettings settings;
    private final Map<AttemptId, Entry> byAttempt = new HashMap<>();
    private final TreeSet<Queued> byDeadline = new TreeSet<>(Queued.BY_DEADLINE);
    private final Map<OrganisationId, Integer> sizes = new HashMap<>();

    Queues(DispatchSettings settings) {
        this.settings = settings;
    }

    /** Returns whether the zone or the organisation has reached its limit of queued requests. */
    boolean isFull(OrganisationId organisation) {
        return byAttempt.size() >= settings.bounds().maxQueued()
                || sizes.getOrDefault(organisation, 0) >= settings.bounds().maxQueuedPerOrganisation();
    }

    boolean contains(AttemptId attempt) {
        return byAttempt.containsKey(attempt);
    }

    Optional<Queued> get(AttemptId attempt) {
        Entry entry = byAttempt.get(attempt);
        return entry == null ? Optional.empty() : Optional.of(entry.queued);
    }

    /** Adds a prompt to the queue with the given index of its pool. */
    void add(Queued queued, ModelPool pool, int index, int weight) {
        pool.enqueue(index, queued, weight, settings.policy().isClassAware());
        add(queued, new PromptPlace(pool, index));
    }

    /** Adds a service call to its pool's queue. */
    void add(Queued queued, ServicePool pool, int weight) {
        pool.queue.add(queued, weight);
        add(queued, new CallPlace(pool));
    }

    /** Removes a granted request from all queues. */
    void grant(Queued queued) {
        switch (forget(queued)) {
            case PromptPlace p -> p.pool.grant(p.index, queued);
            case CallPlace c -> c.pool.queue.grant(queued);
        }
    }

    /** Removes a request that is not granted from all queues. */
    void remove(Queued queued) {
        switch (forget(queued)) {
            case PromptPlace p -> p.pool.remove(p.index, queued);
            case CallPlace c -> c.pool.queue.remove(queued);
        }
    }

    /** Returns the request with the earliest deadline if that deadline has passed. */
    Optional<Queued> expired(long nowNanos) {
        if (byDeadline.isEmpty() || byDeadline.first().request.deadlineNanos() - nowNanos > 0) {
            return Optional.empty();
        }
        return Optional.of(byDeadline.first());
    }

    /** Returns the queued requests of a front. Scans all queued requests, as fronts are rarely lost. */
    ImmutableList<Queued> of(HostIncarnation front) {
        List<Queued> found = new ArrayList<>();
        for (Queued q : byDeadline) {
            if (q.request.attempt().owner().equals(front)) {
                found.add(q);
            }
        }
        return ImmutableList.copyOf(found);
    }

    int size() {
        return byAttempt.size();
    }

    private void add(Queued queued, Place location) {
        Entry earlier = byAttempt.put(queued.request.attempt(), new Entry(queued, location));
        checkState(earlier == null, "%s is queued twice", queued.request.attempt());
        byDeadline.add(queued);
        sizes.merge(queued.request.organisation(), 1, Integer::sum);
    }

    private Place forget(Queued queued) {
        Entry entry = byAttempt.remove(queued.request.attempt());
        checkState(entry != null && entry.queued == queued, "%s is not queued", queued.request.attempt());
        byDeadline.remove(queued);
        sizes.computeIfPresent(queued.request.organisation(), (o, n) -> n == 1 ? null : n - 1);
        return entry.place;
    }

    private record Entry(Queued queued, Place place) {}

    private sealed interface Place {}

    private record PromptPlace(ModelPool pool, int index) implements Place {}

    private record CallPlace(ServicePool pool) implements Place {}
}
