package org.boragebarrow.trials.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.google.common.collect.ImmutableList;

/** Collects broken promises. Thread-safe. */
final class Violations {
    private static final int MAX_KEPT = 50;

    private final Queue<String> found = new ConcurrentLinkedQueue<>();

    /** Notes a broken promise. */
    void add(String promise, String details) {
        if (found.size() < MAX_KEPT) {
            found.add(promise + ": " + details);
        }
    }

    ImmutableList<String> found() {
        return ImmutableList.copyOf(found);
    }
}
