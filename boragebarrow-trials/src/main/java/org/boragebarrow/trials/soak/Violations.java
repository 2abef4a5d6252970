package org.boragebarrow.trials.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.google.common.collect.ImmutableList;

/** Records violations of invariants. Thread-safe. */
final class Violations {
    private static final int MAX_KEPT = 50;

    private final Queue<String> found = new ConcurrentLinkedQueue<>();

    /** Records a violation, unless {@code MAX_RECORDED} have been recorded. */
    void add(String invariant, String details) {
        if (found.size() < MAX_KEPT) {
            found.add(invariant + ": " + details);
        }
    }

    ImmutableList<String> found() {
        return ImmutableList.copyOf(found);
    }
}
