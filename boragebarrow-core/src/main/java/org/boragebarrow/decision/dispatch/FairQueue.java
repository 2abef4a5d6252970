package org.boragebarrow.decision.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Queues requests fairly over organisations by virtual finish times.
 *
 * <p>The virtual time is that of the request served last. A request that would be passed over once more than the limit
 * goes first, so that later requests overtake an earlier one a bounded number of times.
 */
final class FairQueue {
    private static final int MAX_IDLE_FLOWS = 1_024;

    private final int passLimit;
    private final TreeSet<Queued> byTag = new TreeSet<>(Queued.BY_TAG);
    private final LinkedHashSet<Queued> byAge = new LinkedHashSet<>();
    private final Map<OrganisationId, Flow> flows = new HashMap<>();
    private double virtualTime;
    private double activeWeight;
    private long grants;
    private double cost;
    private double promptTokens;
    private double answerTokens;

    FairQueue(int passLimit) {
        checkArgument(passLimit > 0, "pass limit must be positive: %s", passLimit);
        this.passLimit = passLimit;
    }

    /** Adds a request of an organisation with the given weight. */
    void add(Queued queued, int weight) {
        Flow flow = flows.computeIfAbsent(queued.request.organisation(), o -> new Flow());
        queued.tag = Math.max(virtualTime, flow.lastTag) + queued.cost() / weight;
        flow.lastTag = queued.tag;
        if (flow.size++ == 0) {
            flow.weight = weight;
            activeWeight += weight;
        }
        enqueue(queued);
    }

    /** Adds a request behind all others. */
    void addLast(Queued queued) {
        flows.computeIfAbsent(queued.request.organisation(), o -> new Flow()).size++;
        queued.tag = queued.sequence;
        enqueue(queued);
    }

    /** Returns the part of the waiting work that would be served before a request, from 0 to 1. */
    double shareAhead(OrganisationId organisation, double requestCost, int weight) {
        if (cost <= 0) {
            return 0;
        }
        Flow flow = flows.get(organisation);
        double start = flow == null ? virtualTime : Math.max(virtualTime, flow.lastTag);
        double others = activeWeight + (flow == null || flow.size == 0 ? weight : 0);
        double ahead = (start - virtualTime + requestCost / weight) * others;
        return Math.min(1, ahead / cost);
    }

    /** Returns the requests to try now, in order; just the first one once it has been passed over too often. */
    ImmutableList<Queued> candidates(int limit) {
        Optional<Queued> overdue = overdue();
        if (overdue.isPresent()) {
            return ImmutableList.of(overdue.get());
        }
        ImmutableList.Builder<Queued> first = ImmutableList.builder();
        int n = 0;
        for (Queued q : byTag) {
            if (n++ == limit) {
                break;
            }
            first.add(q);
        }
        return first.build();
    }

    /** Returns the request to try first. */
    Optional<Queued> first() {
        if (byTag.isEmpty()) {
            return Optional.empty();
        }
        Optional<Queued> overdue = overdue();
        return overdue.isPresent() ? overdue : Optional.of(byTag.first());
    }

    /** Returns the oldest request if the limit forbids to pass it over again. */
    Optional<Queued> overdue() {
        if (byAge.isEmpty()) {
            return Optional.empty();
        }
        Queued oldest = byAge.getFirst();
        return grants - oldest.grantsBefore >= passLimit ? Optional.of(oldest) : Optional.empty();
    }

    /** Lets others pass a request that no target can take at all at the moment. */
    void defer(Queued queued) {
        checkState(byAge.remove(queued), "not queued: %s", queued.request.attempt());
        queued.grantsBefore = grants;
        byAge.add(queued);
    }

    /** Removes a request that is granted. */
    void grant(Queued queued) {
        Optional<Queued> overdue = overdue();
        checkState(
                overdue.isEmpty() || overdue.get() == queued,
                "%s would be passed over more than %s times",
                overdue.map(q -> q.request.attempt()),
                passLimit);
        remove(queued);
        grants++;
        virtualTime = Math.max(virtualTime, queued.tag);
    }

    /** Removes a request that is not granted. */
    void remove(Queued queued) {
        checkState(byTag.remove(queued), "not queued: %s", queued.request.attempt());
        byAge.remove(queued);
        cost -= queued.cost();
        promptTokens -= queued.promptTokens();
        answerTokens -= queued.expectedAnswerTokens;
        Flow flow = flows.get(queued.request.organisation());
        if (--flow.size == 0) {
            activeWeight -= flow.weight;
            flow.weight = 0;
        }
        if (byTag.isEmpty()) {
            clearSums();
        }
        forgetIdleFlows();
    }

    boolean isEmpty() {
        return byTag.isEmpty();
    }

    int size() {
        return byTag.size();
    }

    /** Returns the prompt tokens that wait. */
    double promptTokens() {
        return promptTokens;
    }

    /** Returns the answer tokens that the waiting requests are expected to take. */
    double answerTokens() {
        return answerTokens;
    }

    private void enqueue(Queued queued) {
        queued.grantsBefore = grants;
        byTag.add(queued);
        byAge.add(queued);
        cost += queued.cost();
        promptTokens += queued.promptTokens();
        answerTokens += queued.expectedAnswerTokens;
    }

    /** Removes what rounding left in the sums. */
    private void clearSums() {
        cost = 0;
        promptTokens = 0;
        answerTokens = 0;
        activeWeight = 0;
    }

    private void forgetIdleFlows() {
        if (flows.size() > MAX_IDLE_FLOWS) {
            flows.values().removeIf(f -> f.size == 0 && f.lastTag <= virtualTime);
        }
    }

    private static final class Flow {
        private double lastTag;
        private int size;
        private int weight;
    }
}
