package org.boragebarrow.trials.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.google.common.collect.ImmutableList;

/** Records violations of invariants. Thread-safe. */
final class Violations {
    private static final int MAX_RECORDED = 50;

    private final Queue<String> recorded = new ConcurrentLinkedQueue<>();

    /** Records a violation, unless {@code MAX_RECORDED} have been recorded. */
    void add(String invariant, String details) {
        if (recorded.size() < MAX_RECORDED) {
            recorded.add(invariant + ": " + details);
        }
    }

    ImmutableList<String> recorded() {
        return ImmutableList.copyOf(recorded);
    }
}
