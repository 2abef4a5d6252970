package org.boragebarrow.decision.waiting;

import org.boragebarrow.decision.urgency.RankTurns;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Forecasts how long work waits behind other work of its service, and decides whether it should.
 *
 * <p>Work waits for all work before it, and for that which arrives meanwhile and goes before it. Late work also has to
 * leave the room to new work of its rank that can be on time. One place in {@link RankTurns#MAX_PASSES} + 1 remains for a
 * less urgent rank, and one for late work, in any case.
 *
 * @param places the places of the service
 * @param freePerMilli the places that come free
 * @param moreUrgentPerMilli the arrivals of more urgent work
 * @param returningPerMilli the arrivals of work of the same rank whose callers were refused before
 * @param asUrgentPerMilli the sustained arrivals of work of the same rank
 */
public record WaitForecast(
        int places, double freePerMilli, double moreUrgentPerMilli, double returningPerMilli, double asUrgentPerMilli) {
    /** Fraction of the places that goes to a less urgent rank, or to late work, in any case. */
    private static final double MIN_FRACTION = 1.0 / (RankTurns.MAX_PASSES + 1);

    /** Fraction of the places that is planned for sustained demand; the rest covers its variation. */
    private static final double PLANNED_FRACTION = 0.8;

    /**
     * Fraction of the time to the objective that new work may be predicted to wait. As long as there is more work than
     * room, all of it waits that long, and more of it would be late without any of it being served in addition.
     */
    private static final double ON_TIME_FRACTION = 0.5;

    /** Factor on its limit up to which waiting work is kept, so that it outlasts a forecast that varies. */
    private static final double KEPT_FACTOR = 1.2;

    public WaitForecast {
        checkArgument(places > 0, "places must be positive: %s", places);
        checkArgument(freePerMilli > 0, "rate must be positive: %s", freePerMilli);
        checkArgument(
                moreUrgentPerMilli >= 0 && returningPerMilli >= 0 && asUrgentPerMilli >= 0,
                "negative arrivals: %s, %s, %s",
                moreUrgentPerMilli,
                returningPerMilli,
                asUrgentPerMilli);
    }

    /**
     * The waiting work that goes before other work.
     *
     * @param ofRank the part of it that has the same rank as the other work
     * @param lateOfRank the part of that which is late
     */
    public record Ahead(int total, int ofRank, int lateOfRank) {}

    /**
     * How much longer work can wait, in milliseconds.
     *
     * @param onTime the longest wait with which the answer is on time; negative if it is late already
     * @param limit the longest wait with which the answer reaches the caller
     */
    public record Patience(double onTime, double limit) {}

    /**
     * Returns whether work should be queued: it can be on time, or waits no longer than an answer takes, or there is room
     * for late work too.
     */
    public boolean admits(Ahead ahead, Patience patience) {
        double wait = waitMillis(ahead.total(), moreUrgentPerMilli + returningPerMilli);
        boolean isSoon = wait <= ON_TIME_FRACTION * patience.onTime() || ahead.total() < places;
        if (isSoon && wait <= patience.limit()) {
            return true;
        }
        double lateWait = patience.onTime() < 0 ? lateMillis(ahead) : (ahead.total() + 1) / sparePerMilli();
        return Math.min(lateWait, turnMillis(ahead.ofRank())) <= patience.limit();
    }

    /** Returns whether work that waits can still be answered before its limit. */
    public boolean keeps(Ahead ahead, Patience patience) {
        double wait = patience.onTime() < 0 ? lateMillis(ahead) : waitMillis(ahead.total(), moreUrgentPerMilli);
        return Math.min(wait, turnMillis(ahead.ofRank())) <= patience.limit() * KEPT_FACTOR;
    }

    private double lateMillis(Ahead ahead) {
        return Math.min((ahead.total() + 1) / sparePerMilli(), turn(ahead.lateOfRank()));
    }

    /** Returns the places that come free and that sustained demand of the same rank and of higher ones does not need. */
    private double sparePerMilli() {
        return Math.max(0, freePerMilli * PLANNED_FRACTION - moreUrgentPerMilli - asUrgentPerMilli);
    }

    /** Returns the places that callers who were refused may count on; one in several even if there are too few. */
    public double returningPacePerMilli() {
        return Math.max(sparePerMilli(), freePerMilli * MIN_FRACTION);
    }

    private double turn(int ahead) {
        return (ahead + 1) / (freePerMilli * MIN_FRACTION);
    }

    private double waitMillis(int ahead, double takenPerMilli) {
        double rate = freePerMilli - takenPerMilli;
        return rate <= 0 ? Double.POSITIVE_INFINITY : (ahead + 1) / rate;
    }

    /** Returns the time until the turns of a less urgent rank reach the work. */
    private double turnMillis(int aheadOfRank) {
        return moreUrgentPerMilli == 0 ? Double.POSITIVE_INFINITY : turn(aheadOfRank);
    }
}
