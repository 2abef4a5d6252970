package org.boragebarrow.trials.soak;

import java.util.concurrent.TimeUnit;

/** Static methods that suspend the current thread; an interrupt ends the pause and is kept as the interrupt status. */
final class Pause {
    private Pause() {}

    static void millis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
