package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Set;

import org.boragebarrow.decision.returning.ReturnBook;
import org.boragebarrow.decision.share.ShareLedger;
import org.boragebarrow.decision.urgency.RankTurns;
import org.boragebarrow.decision.urgency.RecentDemand;
import org.boragebarrow.decision.urgency.UrgentReserve;
import org.boragebarrow.decision.waiting.RoomRate;
import org.boragebarrow.decision.waiting.WaitForecast;
import org.boragebarrow.model.UrgencyRank;

/**
 * What is known of the room of one service: who asks for it, who uses it, how fast it comes free, and who returns for it.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class ServiceRoom {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Weight of one answer in the mean time of its rank. */
    private static final double GAIN = 0.1;

    private static final double NANOS_PER_MILLI = 1e6;

    private final RecentDemand demand = new RecentDemand();
    private final RankTurns turns = new RankTurns();
    private final ShareLedger shares = new ShareLedger();
    private final RoomRate rate = new RoomRate();
    private final ReturnBook returns = new ReturnBook();
    private final int[] inUse = new int[UrgencyRank.COUNT];
    private final double[] holdMillis = new double[UrgencyRank.COUNT];

    RankTurns turns() {
        return turns;
    }

    RoomRate rate() {
        return rate;
    }

    ReturnBook returns() {
        return returns;
    }

    /** Records the arrival of work; returns whether its caller returns at the place that it was given. */
    boolean onArrived(Work work, long now) {
        demand.record(work.terms().rank(), now);
        return returns.claim(work.terms().callerKey(), now);
    }

    /**
     * Records work that has a target.
     *
     * @param targetMillis the time for which it is expected to occupy the target
     */
    void onAssigned(Work work, double targetMillis, long now) {
        WorkTerms terms = work.terms();
        inUse[terms.rank().value()]++;
        shares.record(terms.organisation(), terms.weight(), targetMillis, now);
    }

    /** Records that a piece of work was given room while work of other ranks waited. */
    void onServed(Work work, Set<UrgencyRank> waiting) {
        turns.onServed(work.terms().rank(), waiting);
    }

    /** Records that work no longer has a target; {@code outcome} is of the answer that it got. */
    void onEnded(ActiveAttempts.ActiveAttempt attempt, Outcome outcome, long now) {
        int rank = attempt.work().terms().rank().value();
        inUse[rank] = Math.max(0, inUse[rank] - 1);
        if (outcome != Outcome.SUCCEEDED || attempt.assignedAt().isEmpty()) {
            rate.onFreedEarly(now);
            return;
        }
        Duration held = Duration.ofNanos(now - attempt.assignedAt().get());
        rate.onAnswered(held, now);
        double millis = held.toNanos() / NANOS_PER_MILLI;
        holdMillis[rank] = holdMillis[rank] == 0 ? millis : holdMillis[rank] + GAIN * (millis - holdMillis[rank]);
    }

    /** Returns whether the organisation of the work has used more than its share of the service. */
    boolean isOverShare(Work work) {
        return shares.isOver(work.terms().organisation());
    }

    /** Forgets the organisations that have used next to nothing lately. */
    void forgetIdle(long now) {
        shares.forgetIdle(now);
    }

    /** Returns whether work of a higher rank than the given one has arrived within the last second. */
    boolean hasMoreUrgentDemand(UrgencyRank rank, long now) {
        return demand.moreUrgentPerSecond(rank, now) > 0;
    }

    /**
     * Returns the places that are kept free of work of the rank, for more urgent work; none if it is the rank's turn.
     *
     * @param total the number of places of the service
     */
    int reservedPlaces(UrgencyRank rank, int total, long now) {
        if (turns.isDue(rank)) {
            return 0;
        }
        double millisPerPlace = rate.holdMillis(Duration.ZERO) / Math.max(1, total);
        double arrivals = demand.moreUrgentPerSecond(rank, now) / MILLIS_PER_SECOND * millisPerPlace;
        int used = 0;
        for (int other = 0; other < rank.value(); other++) {
            used += inUse[other];
        }
        return UrgentReserve.places(moreUrgentPlaces(rank, now), used, arrivals, total);
    }

    /** Returns the places that work more urgent than the rank needs at the demand of the last second. */
    double moreUrgentPlaces(UrgencyRank rank, long now) {
        double places = 0;
        for (int other = 0; other < rank.value(); other++) {
            places += demand.perSecond(UrgencyRank.of(other), now) * holdMillis[other] / MILLIS_PER_SECOND;
        }
        return places;
    }

    /**
     * Returns the forecast for work of the rank.
     *
     * @param places the places of the service
     * @param freePerMilli the places that come free
     */
    WaitForecast forecast(UrgencyRank rank, int places, double freePerMilli, long now) {
        return new WaitForecast(
                places,
                freePerMilli,
                demand.moreUrgentPerSecond(rank, now) / MILLIS_PER_SECOND,
                returns.perSecond(rank, now) / MILLIS_PER_SECOND,
                demand.sustainedPerSecond(rank, now) / MILLIS_PER_SECOND);
    }
}
