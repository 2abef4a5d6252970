package org.boragebarrow.decision.assign;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.boragebarrow.model.UrgencyRank;

/**
 * The sizes of work that found no room in one pass over the queue, so that other work need not be weighed.
 *
 * <p>If a piece of work does not fit, then no piece with the same candidates does that is as large or larger, and not more
 * urgent: room that is kept free is kept for more urgent work only.
 */
final class UnplacedSizes {
    private final Map<TargetPool.CandidateGroup, long[]> smallestByRank = new HashMap<>();

    void add(TargetPool.CandidateGroup group, Work work) {
        long[] smallest = smallestByRank.computeIfAbsent(group, key -> {
            long[] none = new long[UrgencyRank.COUNT];
            Arrays.fill(none, Long.MAX_VALUE);
            return none;
        });
        int rank = work.terms().rank().value();
        smallest[rank] = Math.min(smallest[rank], tokens(work));
    }

    /** Returns whether other work shows that there is no room for the work. */
    boolean excludes(TargetPool.CandidateGroup group, Work work) {
        long[] smallest = smallestByRank.get(group);
        if (smallest == null) {
            return false;
        }
        long tokens = tokens(work);
        for (int rank = 0; rank <= work.terms().rank().value(); rank++) {
            if (tokens >= smallest[rank]) {
                return true;
            }
        }
        return false;
    }

    private static long tokens(Work work) {
        return work.size().map(PromptSize::totalTokens).orElse(0L);
    }
}
