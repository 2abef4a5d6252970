package org.boragebarrow.testing;

import java.util.random.RandomGenerator;

import static com.google.common.base.Preconditions.checkArgument;

/** The probabilities of the faults of a commit, at most one of which occurs in a commit. */
public record FaultRates(double refused, double lostBeforeEffect, double lostAfterEffect, double delayed) {
    /** The rates with which no commit fails. */
    public static final FaultRates NONE = new FaultRates(0, 0, 0, 0);

    public FaultRates {
        checkArgument(
                refused >= 0 && lostBeforeEffect >= 0 && lostAfterEffect >= 0 && delayed >= 0,
                "rates must not be negative: refused %s, lost before effect %s, lost after effect %s, delayed %s",
                refused,
                lostBeforeEffect,
                lostAfterEffect,
                delayed);
        double sum = refused + lostBeforeEffect + lostAfterEffect + delayed;
        checkArgument(sum <= 1, "the sum of the rates must not exceed 1: %s", sum);
    }

    /** Draws a fault at random, for one commit. */
    public CommitFault draw(RandomGenerator random) {
        double draw = random.nextDouble();
        double bound = refused;
        if (draw < bound) {
            return CommitFault.REFUSED;
        }
        bound += lostBeforeEffect;
        if (draw < bound) {
            return CommitFault.LOST_BEFORE_EFFECT;
        }
        bound += lostAfterEffect;
        if (draw < bound) {
            return CommitFault.LOST_AFTER_EFFECT;
        }
        return draw < bound + delayed ? CommitFault.DELAYED : CommitFault.NONE;
    }
}
