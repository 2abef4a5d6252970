package org.boragebarrow.standins.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;

import static com.google.common.base.Preconditions.checkArgument;

/** Limits the number of model loads in any sliding window of one minute; not thread-safe. */
final class ModelLoadLimiter {
    private static final long WINDOW_NANOS = Duration.ofMinutes(1).toNanos();

    private final int loadsPerMinute;
    private final Queue<Long> loadTimes = new ArrayDeque<>();

    ModelLoadLimiter(int loadsPerMinute) {
        checkArgument(loadsPerMinute >= 0, "loads per minute must not be negative: %s", loadsPerMinute);
        this.loadsPerMinute = loadsPerMinute;
    }

    int remaining(long nowNanos) {
        while (!loadTimes.isEmpty() && nowNanos - loadTimes.peek() >= WINDOW_NANOS) {
            loadTimes.poll();
        }
        return loadsPerMinute - loadTimes.size();
    }

    /** Acquires one load; returns false if the limit is reached. */
    boolean tryAcquire(long nowNanos) {
        return remaining(nowNanos) > 0 && loadTimes.add(nowNanos);
    }
}
