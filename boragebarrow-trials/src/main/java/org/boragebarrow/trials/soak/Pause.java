package org.boragebarrow.trials.soak;

import java.util.concurrent.TimeUnit;

/** Static methods that let time pass. */
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
