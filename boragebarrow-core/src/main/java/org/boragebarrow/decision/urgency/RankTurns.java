package org.boragebarrow.decision.urgency;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.boragebarrow.model.UrgencyRank;

/**
 * Bounds how often the waiting work of a rank is passed over by more urgent work of its service.
 *
 * <p>After {@link #MAX_PASSES} passes a rank has a turn: the first of its waiting work goes before all other work, unless
 * another rank has been passed over more often. With {@code r} ranks, work that has {@code n} pieces of its rank before it
 * is passed over by more urgent work at most {@code (n + 1) * (MAX_PASSES + r)} times.
 *
 * <p>Not thread-safe.
 */
public final class RankTurns {
    /** Number of more urgent pieces of work that go first while a rank waits; then one of the rank goes. */
    public static final int MAX_PASSES = 8;

    private final int[] passes;

    /** Creates turns in which no rank has been passed over. */
    public RankTurns() {
        this(new int[UrgencyRank.COUNT]);
    }

    private RankTurns(int[] passes) {
        this.passes = passes;
    }

    /** Records that work of a rank was given room while work of the given ranks waited. */
    public void onServed(UrgencyRank served, Set<UrgencyRank> waiting) {
        passes[served.value()] = 0;
        for (UrgencyRank rank : waiting) {
            if (served.isMoreUrgentThan(rank)) {
                passes[rank.value()]++;
            }
        }
    }

    /** Returns whether the rank has been passed over so often that its work goes first. */
    public boolean isDue(UrgencyRank rank) {
        return passes[rank.value()] >= MAX_PASSES;
    }

    /**
     * Returns work in the order in which it goes if each piece gets room in turn.
     *
     * @param sorted the work in the order of its standing, and thus of its rank
     */
    public <T> List<T> arrange(List<T> sorted, Function<? super T, UrgencyRank> rankOf) {
        int last = sorted.size() - 1;
        if (last < 1 || rankOf.apply(sorted.get(0)).equals(rankOf.apply(sorted.get(last)))) {
            return sorted;
        }
        List<RankLine<T>> lines = split(sorted, rankOf);
        RankTurns predicted = new RankTurns(passes.clone());
        List<T> order = new ArrayList<>(sorted.size());
        while (!lines.isEmpty()) {
            RankLine<T> next = predicted.next(lines);
            order.add(next.work.get(next.taken++));
            predicted.passes[next.rank.value()] = 0;
            if (next.taken == next.work.size()) {
                lines.remove(next);
            }
            for (RankLine<T> line : lines) {
                predicted.passes[line.rank.value()] += next.rank.isMoreUrgentThan(line.rank) ? 1 : 0;
            }
        }
        return order;
    }

    private <T> RankLine<T> next(List<RankLine<T>> lines) {
        RankLine<T> next = lines.get(0);
        for (RankLine<T> line : lines) {
            boolean longerDue = passes[line.rank.value()] > passes[next.rank.value()];
            if (isDue(line.rank) && (longerDue || !isDue(next.rank))) {
                next = line;
            }
        }
        return next;
    }

    private static <T> List<RankLine<T>> split(List<T> sorted, Function<? super T, UrgencyRank> rankOf) {
        List<RankLine<T>> lines = new ArrayList<>();
        int from = 0;
        for (int to = 1; to <= sorted.size(); to++) {
            UrgencyRank rank = rankOf.apply(sorted.get(from));
            if (to == sorted.size() || !rankOf.apply(sorted.get(to)).equals(rank)) {
                lines.add(new RankLine<>(rank, sorted.subList(from, to)));
                from = to;
            }
        }
        return lines;
    }

    /** The waiting work of one rank, the first {@code taken} of which have had their turns. */
    private static final class RankLine<T> {
        private final UrgencyRank rank;
        private final List<T> work;
        private int taken;

        RankLine(UrgencyRank rank, List<T> work) {
            this.rank = rank;
            this.work = work;
        }
    }
}
