package org.boragebarrow.decision.returning;

import java.time.Duration;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.boragebarrow.model.UrgencyRank;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times at which refused callers of one service return.
 *
 * <p>Each caller is given a place of its own, at a pace that leaves part of the room to new work. More urgent callers
 * are not delayed by the places of less urgent ones. A caller that is refused again before its place keeps it, so that
 * repeating early gains nothing. Places expire shortly after their time. Callers whose time ends before there is a place
 * for them return without one, one after the other.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
public final class ReturnBook {
    /** Maximum number of callers whose places are known. */
    public static final int MAX_CALLERS = 2_000;

    private static final long BUCKET_MILLIS = 50;
    private static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(BUCKET_MILLIS);

    /** Number of buckets ahead of the present; 20 s are more than a third of any request's limit. */
    private static final int BUCKETS = 400;

    private static final int BUCKETS_PER_SECOND = (int) (TimeUnit.SECONDS.toMillis(1) / BUCKET_MILLIS);

    /** Factor on the pace of organisations that have used more than their share. */
    private static final double OVER_SHARE_FACTOR = 0.5;

    /** Time around its place in which a caller is recognised: the network and the timers on the way. */
    private static final long EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private static final long LATE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final int[][] places = new int[BUCKETS][UrgencyRank.COUNT];
    private final int[] withoutPlace = new int[BUCKETS];
    private final Map<Long, Long> returnTimes = new LinkedHashMap<>();
    private final SpreadDelays spread = new SpreadDelays(0);
    private long clearedUpTo = Long.MIN_VALUE;

    /**
     * A refused caller.
     *
     * @param key identifies the caller; 0 if unknown
     * @param remaining the time until the caller's limit
     */
    public record Caller(long key, UrgencyRank rank, boolean overShare, Duration remaining) {}

    /**
     * Returns the delay after which the caller should return.
     *
     * @param perMilli the places for callers that return
     * @param earliest the time after which the first place is free
     */
    public Duration book(Caller caller, double perMilli, Duration earliest, long now) {
        checkArgument(perMilli > 0, "rate must be positive: %s", perMilli);
        advance(now);
        Duration longest = SpreadDelays.longest(caller.remaining());
        Long known = returnTimes.get(caller.key());
        if (known != null && known > now && known - now <= longest.toNanos()) {
            return Duration.ofNanos(known - now);
        }
        double pace = perMilli * (caller.overShare() ? OVER_SHARE_FACTOR : 1);
        OptionalLong place = findPlace(caller, pace, now + earliest.toNanos(), now + longest.toNanos());
        long at = place.orElseGet(() -> leastCrowdedTime(now, now + longest.toNanos()));
        at = Math.max(now, Math.min(at, now + longest.toNanos()));
        if (place.isEmpty()) {
            withoutPlace[index(bucket(at))]++;
            return Duration.ofNanos(at - now);
        }
        places[index(bucket(at))][caller.rank().value()]++;
        if (caller.key() != 0) {
            returnTimes.remove(caller.key());
            returnTimes.put(caller.key(), at);
        }
        return Duration.ofNanos(at - now);
    }

    private OptionalLong findPlace(Caller caller, double pace, long earliest, long latest) {
        long first = bucket(earliest);
        long last = Math.min(bucket(latest), clearedUpTo + BUCKETS - 1);
        double perBucket = pace * BUCKET_MILLIS;
        double taken = 0;
        for (long bucket = first; bucket <= last; bucket++) {
            int here = countUpTo(bucket, caller.rank());
            taken += here;
            if (taken < perBucket * (bucket - first + 1)) {
                double offset = Math.min(1, here / Math.max(1, perBucket));
                return OptionalLong.of(Math.max(earliest, Math.round((bucket + offset) * BUCKET_NANOS)));
            }
        }
        return OptionalLong.empty();
    }

    /** Returns a time at which the fewest callers without a place return. */
    private long leastCrowdedTime(long now, long latest) {
        long least = Math.min(bucket(latest), clearedUpTo + BUCKETS - 1);
        for (long bucket = least - 1; bucket > bucket(now); bucket--) {
            least = withoutPlace[index(bucket)] < withoutPlace[index(least)] ? bucket : least;
        }
        return Math.round((least + spread.nextFraction()) * BUCKET_NANOS);
    }

    /** Returns the callers of the rank that return within the next second at their places. */
    public int perSecond(UrgencyRank rank, long now) {
        advance(now);
        int count = 0;
        for (long bucket = bucket(now); bucket < bucket(now) + BUCKETS_PER_SECOND; bucket++) {
            count += places[index(bucket)][rank.value()];
        }
        return count;
    }

    /** Returns whether the caller returns at its place, which it then has used; false if it is early or unknown. */
    public boolean claim(long key, long now) {
        Long at = returnTimes.get(key);
        if (at == null || now < at - EARLY_NANOS) {
            return false;
        }
        returnTimes.remove(key);
        return now <= at + LATE_NANOS;
    }

    /** Returns the number of callers whose places are known. */
    public int size() {
        return returnTimes.size();
    }

    private int countUpTo(long bucket, UrgencyRank rank) {
        int count = 0;
        for (int other = 0; other <= rank.value(); other++) {
            count += places[index(bucket)][other];
        }
        return count;
    }

    private static long bucket(long time) {
        return Math.floorDiv(time, BUCKET_NANOS);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    /** Clears the buckets that have passed, and forgets the callers that did not return. */
    private void advance(long now) {
        long present = bucket(now);
        long from = Math.max(clearedUpTo, present - BUCKETS);
        for (long passed = from; passed < present; passed++) {
            Arrays.fill(places[index(passed)], 0);
            withoutPlace[index(passed)] = 0;
        }
        clearedUpTo = present;
        Iterator<Long> times = returnTimes.values().iterator();
        while (times.hasNext() && (times.next() < now - LATE_NANOS || returnTimes.size() >= MAX_CALLERS)) {
            times.remove();
        }
    }
}
