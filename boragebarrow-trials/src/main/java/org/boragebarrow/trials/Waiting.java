package org.boragebarrow.trials;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.base.Stopwatch;

/** Waits for what happens sooner or later. */
public final class Waiting {
    private static final long POLL_MILLIS = 20;

    private Waiting() {}

    /**
     * Waits until the condition holds.
     *
     * @throws IllegalStateException if it does not hold in time; the message says what was waited for
     */
    public static void until(long seconds, String what, BooleanSupplier condition) {
        Stopwatch watch = Stopwatch.createStarted();
        while (!condition.getAsBoolean()) {
            if (watch.elapsed(TimeUnit.SECONDS) >= seconds) {
                throw new IllegalStateException("not within " + seconds + " s: " + what);
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
