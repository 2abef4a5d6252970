package org.boragebarrow.decision.assign;

import java.time.Duration;

/**
 * Work in the queue.
 *
 * @param isLong whether its prompt waits for several targets instead of one
 */
record QueuedWork(Work work, long queuedAt, boolean isLong) {
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Fraction of the caller's abandonment time after which work precedes all other work, which prevents starvation.
     */
    private static final double URGENT_AGE_FRACTION = 0.6;

    /** Fraction of the objective up to which queued work can still be on time. */
    private static final double ON_TIME_AGE_FRACTION = 0.7;

    /** Returns the work with its age and remaining time as of {@code now}. */
    Work workAt(long now) {
        return work.withElapsed(Duration.ofNanos(now - queuedAt));
    }

    private double ageMillis(long now) {
        return work.age().toMillis() + (now - queuedAt) / NANOS_PER_MILLI;
    }

    /**
     * Returns the rank in the queue: 0 for work whose caller is about to abandon it, 1 for work that can still be on
     * time, 2 for work that is late in any case.
     */
    int rank(long now) {
        double age = ageMillis(now);
        if (age > CostModel.abandonmentMillis(work) * URGENT_AGE_FRACTION) {
            return 0;
        }
        return age < work.objective().toMillis() * ON_TIME_AGE_FRACTION ? 1 : 2;
    }

    /** Returns the time left until the objective; work with less slack comes first within a rank. */
    double slackMillis(long now) {
        return work.objective().toMillis() - ageMillis(now);
    }
}
