package org.boragebarrow.decision.urgency;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

import org.boragebarrow.model.UrgencyRank;

/**
 * The arrivals at a service within the last second, by rank.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
public final class RecentDemand {
    private static final int BUCKETS = 10;
    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1) / BUCKETS;

    /** Number of buckets that a crowd may fill without counting as sustained demand. */
    private static final int MOMENT_BUCKETS = 2;

    private final int[][] arrivals = new int[BUCKETS][UrgencyRank.COUNT];
    private long lastBucket = Long.MIN_VALUE;

    /** Records one arrival. */
    public void record(UrgencyRank rank, long now) {
        advance(now);
        arrivals[(int) Math.floorMod(lastBucket, (long) BUCKETS)][rank.value()]++;
    }

    /** Returns the arrivals per second of work of one rank. */
    public int perSecond(UrgencyRank rank, long now) {
        advance(now);
        int count = 0;
        for (int[] bucket : arrivals) {
            count += bucket[rank.value()];
        }
        return count;
    }

    /** Returns the arrivals per second of work of one rank, apart from those of a moment in which a crowd arrived. */
    public double sustainedPerSecond(UrgencyRank rank, long now) {
        advance(now);
        int[] counts = new int[BUCKETS];
        for (int i = 0; i < BUCKETS; i++) {
            counts[i] = arrivals[i][rank.value()];
        }
        Arrays.sort(counts);
        int count = 0;
        for (int i = 0; i < BUCKETS - MOMENT_BUCKETS; i++) {
            count += counts[i];
        }
        return (double) count * BUCKETS / (BUCKETS - MOMENT_BUCKETS);
    }

    /** Returns the arrivals per second of work that is more urgent than the rank. */
    public int moreUrgentPerSecond(UrgencyRank rank, long now) {
        advance(now);
        int count = 0;
        for (int[] bucket : arrivals) {
            for (int other = 0; other < rank.value(); other++) {
                count += bucket[other];
            }
        }
        return count;
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, BUCKET_NANOS);
        if (bucket <= lastBucket) {
            return;
        }
        long from = lastBucket == Long.MIN_VALUE || bucket - lastBucket > BUCKETS ? bucket - BUCKETS : lastBucket;
        for (long cleared = from + 1; cleared <= bucket; cleared++) {
            Arrays.fill(arrivals[(int) Math.floorMod(cleared, (long) BUCKETS)], 0);
        }
        lastBucket = bucket;
    }
}
