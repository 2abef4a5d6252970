package org.boragebarrow.decision.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The latest era of the store that its answers have shown. Thread-safe.
 *
 * <p>Load pattern: the store is away for a moment and comes back from a copy that is some seconds old, while calls of several
 * tables are in progress; answers of the time before may still arrive.
 */
public final class StoreEras {
    private final List<LongConsumer> listeners = new ArrayList<>();
    private long latest;
    private boolean known;

    /** Adds a listener that receives each new era but the first, on the thread of the call that shows it. */
    public synchronized void addListener(LongConsumer listener) {
        listeners.add(checkNotNull(listener));
    }

    /** Records the era of an answer; returns whether it is the latest one, so that the answer holds. */
    public boolean observe(long era) {
        List<LongConsumer> notified = List.of();
        synchronized (this) {
            if (known && era < latest) {
                return false;
            }
            if (known && era > latest) {
                notified = List.copyOf(listeners);
            }
            latest = era;
            known = true;
        }
        notified.forEach(listener -> listener.accept(era));
        return true;
    }

    /** Returns whether a position is in the latest era; one of an earlier era is no condition for a write. */
    public synchronized boolean isLatest(long era) {
        return era >= latest;
    }
}
