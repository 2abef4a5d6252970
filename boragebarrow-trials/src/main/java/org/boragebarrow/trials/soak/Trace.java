package org.boragebarrow.trials.soak;

import java.util.concurrent.TimeUnit;

import com.google.common.base.Stopwatch;
import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;

/** Records the latest faults and failed calls, for the report of a failed run. Thread-safe. */
final class Trace {
    private static final int MAX_LINES = 400;

    private final Stopwatch stopwatch = Stopwatch.createStarted();

    @GuardedBy("this") private final EvictingQueue<String> lines = EvictingQueue.create(MAX_LINES);

    synchronized void add(String line) {
        lines.add("%8.3f s %s".formatted(stopwatch.elapsed(TimeUnit.MILLISECONDS) / 1e3, line));
    }

    synchronized ImmutableList<String> lines() {
        return ImmutableList.copyOf(lines);
    }
}
