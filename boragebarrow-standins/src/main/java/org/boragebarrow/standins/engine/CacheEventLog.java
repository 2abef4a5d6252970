package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.EngineControl.CacheEvent;
import org.boragebarrow.port.EngineControl.CacheEvents;

/** Numbers cache events from 1, and emulates that they become visible with a delay and that some are lost. */
final class CacheEventLog {
    private static final int MAX_EVENTS = 8_192;
    private static final int MAX_BATCH_EVENTS = 1_024;

    private final long lagNanos;
    private final double lossProbability;
    private final RandomGenerator random;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long lastNumber;
    private long lastVisibleNanos = Long.MIN_VALUE;

    private record Entry(long number, CacheEvent event, long visibleNanos) {}

    CacheEventLog(Duration lag, double lossProbability, RandomGenerator random) {
        this.lagNanos = lag.toNanos();
        this.lossProbability = lossProbability;
        this.random = random;
    }

    void add(long blockHash, boolean stored, long nowNanos) {
        lastNumber++;
        if (random.nextDouble() < lossProbability) {
            return;
        }
        long lag = lagNanos == 0 ? 0 : lagNanos / 2 + random.nextLong(lagNanos);
        lastVisibleNanos = Math.max(lastVisibleNanos, nowNanos + lag);
        entries.add(new Entry(lastNumber, new CacheEvent(blockHash, stored), lastVisibleNanos));
        if (entries.size() > MAX_EVENTS) {
            entries.remove();
        }
    }

    /**
     * Returns the visible events after the number, up to the next gap.
     *
     * <p>A number above the last one comes from an earlier incarnation of the engine: the events from 1 are returned.
     */
    CacheEvents eventsAfter(long number, long nowNanos) {
        long lastKnown = number > lastNumber ? 0 : number;
        ImmutableList.Builder<CacheEvent> events = ImmutableList.builder();
        long first = lastKnown + 1;
        long next = first;
        for (Entry entry : entries) {
            if (entry.number <= lastKnown) {
                continue;
            }
            boolean gap = next > first && entry.number != next;
            if (gap || entry.visibleNanos > nowNanos || next - first == MAX_BATCH_EVENTS) {
                break;
            }
            first = next == first ? entry.number : first;
            next = entry.number + 1;
            events.add(entry.event);
        }
        return new CacheEvents(first, next, events.build());
    }
}
