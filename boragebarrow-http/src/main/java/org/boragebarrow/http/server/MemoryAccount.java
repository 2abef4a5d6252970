package org.boragebarrow.http.server;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.base.Ticker;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Limits the memory that the requests of one or more servers hold together: heads and bodies from their first byte until
 * the response has ended, and responses that callers do not read. Thread-safe.
 *
 * <p>A part is kept for short requests, so that long ones cannot exclude them. If a request finds no room, the
 * connection that has held most for longest without a complete request or a reading caller is evicted for it. There is
 * always another one to evict, or everything is held by requests that are being served, and the request is refused.
 */
public final class MemoryAccount {
    /** A request that holds no more than this may use the part that is kept for short ones. */
    static final int SHORT_REQUEST_BYTES = 64 << 10;

    /** Received from any ordinary caller within this time is more than such a part; nobody is evicted before. */
    private static final long MIN_EVICTION_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    /** After a search that found nothing to evict, the next one waits; a search visits all incomplete requests. */
    private static final long SEARCH_PAUSE_NANOS = Duration.ofMillis(20).toNanos();

    /** What else the heap holds, and what the collector needs to work, is twice as much. */
    private static final int HEAP_DIVISOR = 3;

    private static final int SHORT_PART_DIVISOR = 4;

    private final long limit;
    private final long limitOfLongRequests;
    private final Ticker ticker;
    private final AtomicLong heldBytes = new AtomicLong();
    private final AtomicLong evictions = new AtomicLong();
    private final Set<MemoryShare> evictable = ConcurrentHashMap.newKeySet();
    private volatile long nextSearchAt;

    private MemoryAccount(long limit, Ticker ticker) {
        checkArgument(limit > 0, "the limit must be positive: %s", limit);
        this.limit = limit;
        this.limitOfLongRequests = limitOfLongRequests(limit);
        this.ticker = checkNotNull(ticker);
        this.nextSearchAt = ticker.read();
    }

    /** Returns an account with the given limit in bytes. */
    public static MemoryAccount of(long limit) {
        return of(limit, Ticker.systemTicker());
    }

    static MemoryAccount of(long limit, Ticker ticker) {
        return new MemoryAccount(limit, ticker);
    }

    /** Returns the limit in bytes that a heap of the given maximum size has room for. */
    public static long limitOfHeap(long maxHeapBytes) {
        return maxHeapBytes / HEAP_DIVISOR;
    }

    /** Returns the part of a limit that is not kept for short requests. */
    static long limitOfLongRequests(long limit) {
        return limit - limit / SHORT_PART_DIVISOR;
    }

    /** Returns the bytes that are held now. */
    public long heldBytes() {
        return heldBytes.get();
    }

    /** Returns the limit in bytes. */
    public long limit() {
        return limit;
    }

    /** Returns the number of connections evicted so far. */
    public long evictions() {
        return evictions.get();
    }

    long now() {
        return ticker.read();
    }

    /** Adds to what a connection holds if there is room, or if room can be made. */
    boolean tryHold(MemoryShare share, long bytes) {
        long ceiling = share.heldBytes() + bytes > SHORT_REQUEST_BYTES ? limitOfLongRequests : limit;
        while (heldBytes.addAndGet(bytes) > ceiling) {
            heldBytes.addAndGet(-bytes);
            if (!evictWorst(share)) {
                return false;
            }
        }
        return true;
    }

    /** Adds to what a connection holds, beyond the limit if necessary; for what exists already. */
    void hold(MemoryShare share, long bytes) {
        boolean above = heldBytes.addAndGet(bytes) > limit;
        while (above && evictWorst(share)) {
            above = heldBytes.get() > limit;
        }
    }

    void release(long bytes) {
        heldBytes.addAndGet(-bytes);
    }

    void setEvictable(MemoryShare share, boolean allowed) {
        if (allowed) {
            evictable.add(share);
        } else {
            evictable.remove(share);
        }
    }

    private boolean evictWorst(MemoryShare except) {
        long now = now();
        if (now - nextSearchAt < 0) {
            return false;
        }
        Optional<MemoryShare> worst = findWorst(except, now);
        if (worst.isEmpty()) {
            nextSearchAt = now + SEARCH_PAUSE_NANOS;
            return false;
        }
        evictable.remove(worst.get());
        if (worst.get().evict()) {
            evictions.incrementAndGet();
        }
        return true;
    }

    private Optional<MemoryShare> findWorst(MemoryShare except, long now) {
        MemoryShare worst = null;
        double worstScore = 0;
        for (MemoryShare share : evictable) {
            long age = now - share.heldSince();
            double score = (double) share.heldBytes() * age;
            if (share != except && age >= MIN_EVICTION_AGE_NANOS && score > worstScore) {
                worst = share;
                worstScore = score;
            }
        }
        return Optional.ofNullable(worst);
    }
}
