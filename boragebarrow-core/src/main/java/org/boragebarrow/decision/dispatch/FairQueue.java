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
 * Orders requests by weighted fair queueing over organisations, using virtual finish times.
 *
 * <p>The virtual time is the highest virtual finish time of all requests granted so far. A request that has been
 * overtaken as often as the limit allows is granted next, which bounds how often later requests overtake an earlier
 * one.
 */
final class FairQueue {
    private static final int MAX_IDLE_FLOWS = 1_024;

    private final int maxOvertakes;
    private final TreeSet<QueuedRequest> byFinishTag = new TreeSet<>(QueuedRequest.BY_FINISH_TAG);
    private final LinkedHashSet<QueuedRequest> byAge = new LinkedHashSet<>();
    private final Map<OrganisationId, Flow> flows = new HashMap<>();
    private double virtualTime;
    private double activeWeight;
    private long grants;
    private double cost;
    private double promptTokens;
    private double answerTokens;

    FairQueue(int maxOvertakes) {
        checkArgument(maxOvertakes > 0, "overtake limit must be positive: %s", maxOvertakes);
        this.maxOvertakes = maxOvertakes;
    }

    /** Adds a request of an organisation with the given weight. */
    void add(QueuedRequest queued, int weight) {
        Flow flow = flows.computeIfAbsent(queued.request.organisation(), o -> new Flow());
        queued.finishTag = Math.max(virtualTime, flow.lastFinishTag) + queued.cost() / weight;
        flow.lastFinishTag = queued.finishTag;
        if (flow.size++ == 0) {
            flow.weight = weight;
            activeWeight += weight;
        }
        enqueue(queued);
    }

    /** Adds a request behind all others. */
    void addLast(QueuedRequest queued) {
        flows.computeIfAbsent(queued.request.organisation(), o -> new Flow()).size++;
        queued.finishTag = queued.sequence;
        enqueue(queued);
    }

    /** Returns the fraction of the queued cost that would be served before a request added now, from 0 to 1. */
    double fractionAhead(OrganisationId organisation, double requestCost, int weight) {
        if (cost <= 0) {
            return 0;
        }
        Flow flow = flows.get(organisation);
        double start = flow == null ? virtualTime : Math.max(virtualTime, flow.lastFinishTag);
        double totalWeight = activeWeight + (flow == null || flow.size == 0 ? weight : 0);
        double costAhead = (start - virtualTime + requestCost / weight) * totalWeight;
        return Math.min(1, costAhead / cost);
    }

    /** Returns the requests to try now, in order; only the oldest one if it may not be overtaken again. */
    ImmutableList<QueuedRequest> candidates(int limit) {
        Optional<QueuedRequest> overdue = overdue();
        if (overdue.isPresent()) {
            return ImmutableList.of(overdue.get());
        }
        ImmutableList.Builder<QueuedRequest> candidates = ImmutableList.builder();
        int n = 0;
        for (QueuedRequest q : byFinishTag) {
            if (n++ == limit) {
                break;
            }
            candidates.add(q);
        }
        return candidates.build();
    }

    /** Returns the request to try first. */
    Optional<QueuedRequest> first() {
        if (byFinishTag.isEmpty()) {
            return Optional.empty();
        }
        Optional<QueuedRequest> overdue = overdue();
        return overdue.isPresent() ? overdue : Optional.of(byFinishTag.first());
    }

    /** Returns the oldest request if it has been overtaken as often as the limit allows. */
    Optional<QueuedRequest> overdue() {
        if (byAge.isEmpty()) {
            return Optional.empty();
        }
        QueuedRequest oldest = byAge.getFirst();
        return grants - oldest.grantCountBaseline >= maxOvertakes ? Optional.of(oldest) : Optional.empty();
    }

    /** Restarts the overtake count of a request that no target can currently accept, so that others may overtake it. */
    void defer(QueuedRequest queued) {
        checkState(byAge.remove(queued), "%s is not queued", queued.request.attempt());
        queued.grantCountBaseline = grants;
        byAge.add(queued);
    }

    /** Removes a request that is granted. */
    void grant(QueuedRequest queued) {
        Optional<QueuedRequest> overdue = overdue();
        checkState(
                overdue.isEmpty() || overdue.get() == queued,
                "%s would be overtaken more than %s times",
                overdue.map(q -> q.request.attempt()),
                maxOvertakes);
        remove(queued);
        grants++;
        virtualTime = Math.max(virtualTime, queued.finishTag);
    }

    /** Removes a request that is not granted. */
    void remove(QueuedRequest queued) {
        checkState(byFinishTag.remove(queued), "%s is not queued", queued.request.attempt());
        byAge.remove(queued);
        cost -= queued.cost();
        promptTokens -= queued.promptTokens();
        answerTokens -= queued.expectedAnswerTokens;
        Flow flow = flows.get(queued.request.organisation());
        if (--flow.size == 0) {
            activeWeight -= flow.weight;
            flow.weight = 0;
        }
        if (byFinishTag.isEmpty()) {
            clearTotals();
        }
        evictIdleFlows();
    }

    boolean isEmpty() {
        return byFinishTag.isEmpty();
    }

    int size() {
        return byFinishTag.size();
    }

    /** Returns the total prompt tokens of the queued requests. */
    double promptTokens() {
        return promptTokens;
    }

    /** Returns the total answer tokens that the queued requests are expected to produce. */
    double answerTokens() {
        return answerTokens;
    }

    private void enqueue(QueuedRequest queued) {
        queued.grantCountBaseline = grants;
        byFinishTag.add(queued);
        byAge.add(queued);
        cost += queued.cost();
        promptTokens += queued.promptTokens();
        answerTokens += queued.expectedAnswerTokens;
    }

    /** Clears the rounding errors from the totals of an empty queue. */
    private void clearTotals() {
        cost = 0;
        promptTokens = 0;
        answerTokens = 0;
        activeWeight = 0;
    }

    private void evictIdleFlows() {
        if (flows.size() > MAX_IDLE_FLOWS) {
            flows.values().removeIf(f -> f.size == 0 && f.lastFinishTag <= virtualTime);
        }
    }

    private static final class Flow {
        private double lastFinishTag;
        private int size;
        private int weight;
    }
}
