package org.boragebarrow.decision.urgency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.truth.Truth.assertThat;

class RankTurnsTest {
    private static final UrgencyRank FIRST = UrgencyRank.of(0);
    private static final UrgencyRank LAST = UrgencyRank.of(9);

    private static final class Piece {
        private final UrgencyRank rank;
        private final int aheadOfRank;
        private int passes;

        Piece(UrgencyRank rank, int aheadOfRank) {
            this.rank = rank;
            this.aheadOfRank = aheadOfRank;
        }

        UrgencyRank rank() {
            return rank;
        }
    }

    @Property(tries = 300, seed = "7")
    void workIsPassedOverABoundedNumberOfTimes(@ForAll long seed) {
        Random random = new Random(seed);
        RankTurns turns = new RankTurns();
        List<Piece> waiting = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            // More urgent work arrives about as often as work is served, so that the rest is passed over.
            UrgencyRank rank = UrgencyRank.of(random.nextInt(4) > 0 ? random.nextInt(2) : random.nextInt(10));
            int ahead = (int)
                    waiting.stream().filter(piece -> piece.rank.equals(rank)).count();
            waiting.add(new Piece(rank, ahead));
            waiting.sort(Comparator.comparing(Piece::rank));
            if (step > 20) {
                serve(turns, waiting);
            }
        }
    }

    private static void serve(RankTurns turns, List<Piece> waiting) {
        Piece served = turns.arrange(waiting, Piece::rank).get(0);
        waiting.remove(served);
        TreeSet<UrgencyRank> ranks =
                new TreeSet<>(waiting.stream().map(Piece::rank).toList());
        turns.onServed(served.rank, ranks);
        for (Piece piece : waiting) {
            piece.passes += served.rank.isMoreUrgentThan(piece.rank) ? 1 : 0;
            assertThat(piece.passes).isAtMost((piece.aheadOfRank + 1) * (RankTurns.MAX_PASSES + UrgencyRank.COUNT));
        }
    }

    @Property(tries = 100, seed = "7")
    void theOrderWithinARankIsThatOfTheStanding(@ForAll List<Integer> slacks) {
        List<Standing> sorted = slacks.stream()
                .map(slack -> new Standing(FIRST, false, Standing.Phase.CAN_BE_ON_TIME, slack))
                .sorted()
                .toList();

        assertThat(new RankTurns().arrange(sorted, Standing::rank)).isSameInstanceAs(sorted);
        assertThat(sorted).isInOrder(Comparator.comparingDouble(Standing::slackMillis));
    }

    @Example
    void theArrangementGivesEachRankItsTurns() {
        List<UrgencyRank> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            waiting.add(FIRST);
        }
        waiting.add(LAST);
        waiting.add(LAST);
        List<UrgencyRank> order = new RankTurns().arrange(waiting, rank -> rank);

        assertThat(order.get(RankTurns.MAX_PASSES)).isEqualTo(LAST);
        assertThat(order.get(2 * RankTurns.MAX_PASSES + 1)).isEqualTo(LAST);
        assertThat(order).hasSize(22);
    }

    @Example
    void rankPrecedesAgeAndAgePrecedesShare() {
        Standing urgentOver = new Standing(FIRST, true, Standing.Phase.LATE, -100);
        Standing lessUrgent = new Standing(LAST, false, Standing.Phase.NEARLY_ABANDONED, -900);
        Standing lessUrgentOver = new Standing(LAST, true, Standing.Phase.NEARLY_ABANDONED, -950);
        Standing returning = new Standing(LAST, false, Standing.Phase.RETURNING, 300);
        Standing onTimeOver = new Standing(LAST, true, Standing.Phase.CAN_BE_ON_TIME, 100);
        Standing late = new Standing(LAST, false, Standing.Phase.LATE, -50);

        assertThat(List.of(late, returning, onTimeOver, lessUrgentOver, lessUrgent, urgentOver).stream()
                        .sorted()
                        .toList())
                .containsExactly(urgentOver, lessUrgent, lessUrgentOver, returning, onTimeOver, late)
                .inOrder();
    }

    @Example
    void demandFollowsAJumpAndAFallWithinASecond() {
        RecentDemand demand = new RecentDemand();
        for (int millis = -2_000; millis < 0; millis += 10) {
            demand.record(FIRST, millis * 1_000_000L);
        }
        assertThat(demand.perSecond(FIRST, -1)).isAtLeast(90);
        assertThat(demand.moreUrgentPerSecond(LAST, -1)).isEqualTo(demand.perSecond(FIRST, -1));
        assertThat(demand.moreUrgentPerSecond(FIRST, -1)).isEqualTo(0);
        assertThat(demand.perSecond(FIRST, 1_000_000_000L)).isEqualTo(0);
    }

    @Example
    void noMoreIsKeptThanTheMoreUrgentNeed() {
        assertThat(UrgentReserve.places(0, 0, 5, 20)).isEqualTo(0);
        assertThat(UrgentReserve.places(3.2, 1, 5, 20)).isEqualTo(2);
        assertThat(UrgentReserve.places(3.2, 5, 5, 20)).isEqualTo(0);
        assertThat(UrgentReserve.places(50, 0, 60, 20)).isEqualTo(10);
        assertThat(UrgentReserve.places(50, 0, 0.3, 20)).isEqualTo(1);
    }
}
