package org.boragebarrow.decision.assign;

import java.time.Duration;

import org.boragebarrow.decision.urgency.Standing;

/**
 * Work in the queue, or about to be queued.
 *
 * @param isLong whether its prompt waits for several targets instead of one
 * @param returning whether its caller was refused before, and has returned when it was told to
 */
record QueuedWork(Work work, long queuedAt, boolean isLong, boolean returning) {
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Fraction of the caller's abandonment time after which work precedes other work of its rank, which prevents
     * starvation.
     */
    private static final double URGENT_AGE_FRACTION = 0.6;

    /** Fraction of the objective up to which queued work can still be on time. */
    private static final double ON_TIME_AGE_FRACTION = 0.7;

    /** Returns the work with its age and remaining time as of {@code now}. */
    Work workAt(long now) {
        return now == queuedAt ? work : work.withElapsed(Duration.ofNanos(now - queuedAt));
    }

    private double ageMillis(long now) {
        return work.age().toMillis() + (now - queuedAt) / NANOS_PER_MILLI;
    }

    /** Returns the work's right to the next room of its service. */
    Standing standing(boolean overShare, long now) {
        return new Standing(
                work.terms().rank(), overShare, phase(now), work.objective().toMillis() - ageMillis(now));
    }

    private Standing.Phase phase(long now) {
        double age = ageMillis(now);
        if (age > CostModel.abandonmentMillis(work) * URGENT_AGE_FRACTION) {
            return Standing.Phase.NEARLY_ABANDONED;
        }
        if (returning) {
            return Standing.Phase.RETURNING;
        }
        return age < work.objective().toMillis() * ON_TIME_AGE_FRACTION
                ? Standing.Phase.CAN_BE_ON_TIME
                : Standing.Phase.LATE;
    }

    /** Returns the longest further wait with which the answer can be on time, in milliseconds. */
    double onTimeWaitMillis(long now) {
        return work.objective().toMillis() * ON_TIME_AGE_FRACTION - ageMillis(now);
    }

    /**
     * Returns the longest further wait with which the answer reaches the caller, in milliseconds.
     *
     * @param answerMillis the time that a complete answer takes; 0 if the caller waits for the first event only
     */
    double longestWaitMillis(double answerMillis, long now) {
        double patience = CostModel.abandonmentMillis(work) - ageMillis(now);
        double remaining = work.remaining().toMillis() - (now - queuedAt) / NANOS_PER_MILLI;
        return Math.min(patience, remaining) - answerMillis;
    }
}
