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

    FairQueue(int maxOvertakes) {
        checkArgument(maxOvertakes > 0, "overtake limit must be positive: %s", maxOvertakes);
        this.passLimit = maxOvertakes;
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

    /** Returns the fraction of the queued cost that would be served before a request added now, from 0 to 1. */
    double shareAhead(OrganisationId organisation, double requestCost, int weight) {
        if (cost <= 0) {
            return 0;
        }
        Flow flow = flows.get(organisation);
        double start = flow == null ? virtualTime : Math.max(virtualTime, flow.lastTag);
        double totalWeight = activeWeight + (flow == null || flow.size == 0 ? weight : 0);
        double costAhead = (start - virtualTime + requestCost / weight) * totalWeight;
        return Math.min(1, costAhead / cost);
    }

    /** Returns the requests to try now, in order; only the oldest one if it may not be overtaken again. */
    ImmutableList<Queued> candidates(int limit) {
        Optional<Queued> overdue = overdue();
        if (overdue.isPresent()) {
            return ImmutableList.of(overdue.get());
        }
        ImmutableList.Builder<Queued> candidates = ImmutableList.builder();
        int n = 0;
        for (Queued q : byTag) {
            if (n++ == limit) {
                break;
            }
            candidates.add(q);
        }
        return candidates.build();
    }

    /** Returns the request to try first. */
    Optional<Queued> first() {
        if (byTag.isEmpty()) {
            return Optional.empty();
        }
        Optional<Queued> overdue = overdue();
        return overdue.isPresent() ? overdue : Optional.of(byTag.first());
    }

    /** Returns the oldest request if it has been overtaken as often as the limit allows. */
    Optional<Queued> overdue() {
        if (byAge.isEmpty()) {
            return Optional.empty();
        }
        Queued oldest = byAge.getFirst();
        return grants - oldest.grantsBefore >= passLimit ? Optional.of(oldest) : Optional.empty();
    }

    /** Restarts the overtake count of a request that no target can currently accept, so that others may overtake it. */
    void defer(Queued queued) {
        checkState(byAge.remove(queued), "%s is not queued", queued.request.attempt());
        queued.grantsBefore = grants;
        byAge.add(queued);
    }

    /** Removes a request that is granted. */
    void grant(Queued queued) {
        Optional<Queued> overdue = overdue();
        checkState(
                overdue.isEmpty() || overdue.get() == queued,
                "%s would be overtaken more than %s times",
                overdue.map(q -> q.request.attempt()),
                passLimit);
        remove(queued);
        grants++;
        virtualTime = Math.max(virtualTime, queued.tag);
    }

    /** Removes a request that is not granted. */
    void remove(Queued queued) {
        checkState(byTag.remove(queued), "%s is not queued", queued.request.attempt());
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

    /** Returns the total prompt tokens of the queued requests. */
    double promptTokens() {
        return promptTokens;
    }

    /** Returns the total answer tokens that the queued requests are expected to produce. */
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

    /** Clears the rounding errors from the totals of an empty queue. */
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
