package org.boragebarrow.trials;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.base.Stopwatch;

/** Static methods that wait for conditions that other threads make true. */
public final class Waiting {
    private static final long POLL_MILLIS = 20;

    private Waiting() {}

    /**
     * Polls the condition until it holds.
     *
     * @param description the condition, for the message of the exception
     * @throws IllegalStateException if the condition does not hold within the timeout
     */
    public static void until(long timeoutSeconds, String description, BooleanSupplier condition) {
        Stopwatch stopwatch = Stopwatch.createStarted();
        while (!condition.getAsBoolean()) {
            if (stopwatch.elapsed(TimeUnit.SECONDS) >= timeoutSeconds) {
                throw new IllegalStateException("condition not met within " + timeoutSeconds + " s: " + description);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
