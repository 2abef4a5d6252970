package org.boragebarrow.decision.memory;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Limits the memory that the responses of targets hold together: bodies and events that are not complete, and complete ones
 * that their callers have not read yet. Not thread-safe.
 *
 * <p>A part is kept for short responses, so that long ones cannot exclude them. If a response finds no room, the target gives
 * way whose responses are longest beyond what complete responses of their services have reached, as one that sends without end
 * does; among several, the one whose responses hold most. Of its responses, the one that holds most is ended. A search takes
 * time linear in the number of responses that hold memory.
 */
public final class ResponseMemory {
    /** A response that holds no more than this may use the part that is kept for short ones. */
    public static final int SHORT_RESPONSE_BYTES = 64 << 10;

    private static final int SHORT_PART_DIVISOR = 4;

    /** The maximum number of services whose longest response is known. */
    private static final int MAX_SERVICES = 1_000;

    private final long limit;
    private final long limitOfLongResponses;
    private final Set<Holding> holdings = new LinkedHashSet<>();
    private final Map<ServiceName, Long> longestComplete = new HashMap<>();
    private volatile long heldBytes;
    private volatile long ended;

    private ResponseMemory(long limit) {
        checkArgument(limit > 0, "the limit must be positive: %s", limit);
        this.limit = limit;
        this.limitOfLongResponses = limit - limit / SHORT_PART_DIVISOR;
    }

    /** Returns an account with the given limit in bytes. */
    public static ResponseMemory of(long limit) {
        return new ResponseMemory(limit);
    }

    /** Returns the limit in bytes. */
    public long limit() {
        return limit;
    }

    /** Returns the bytes that are held now; may be called from any thread. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the number of responses that were ended so far as there was no room; may be called from any thread. */
    public long endedResponses() {
        return ended;
    }

    /**
     * Returns a holding of a response, which holds nothing at first.
     *
     * @param giveWay ends the response when it gives way to others; it frees what it holds
     */
    public Holding open(TargetId target, ServiceName service, Runnable giveWay) {
        return new Holding(checkNotNull(target), checkNotNull(service), checkNotNull(giveWay));
    }

    /** Returns the holding that gives way if the one given is to hold more. */
    private Holding findWorst(Holding growing, long bytes) {
        Map<TargetId, Usage> usages = new HashMap<>();
        holdings.forEach(holding -> usages.computeIfAbsent(holding.target, id -> new Usage())
                .add(holding, holding.heldBytes + (holding == growing ? bytes : 0)));
        if (!holdings.contains(growing)) {
            usages.computeIfAbsent(growing.target, id -> new Usage()).add(growing, bytes);
        }
        Usage worst = usages.get(growing.target);
        for (Usage usage : usages.values()) {
            worst = usage.isWorseThan(worst) ? usage : worst;
        }
        return worst.largest;
    }

    private long beyondLongestComplete(Holding holding, long bytes) {
        return Math.max(0, bytes - longestComplete.getOrDefault(holding.service, (long) SHORT_RESPONSE_BYTES));
    }

    private void recordComplete(ServiceName service, long bytes) {
        boolean known = longestComplete.containsKey(service);
        if (bytes > SHORT_RESPONSE_BYTES && (known || longestComplete.size() < MAX_SERVICES)) {
            longestComplete.merge(service, bytes, Math::max);
        }
    }

    /** What the responses of one target hold. */
    private final class Usage {
        private long excess;
        private long total;
        private Holding largest;
        private long largestBytes;

        void add(Holding holding, long bytes) {
            excess += beyondLongestComplete(holding, bytes);
            total += bytes;
            if (largest == null || bytes > largestBytes) {
                largest = holding;
                largestBytes = bytes;
            }
        }

        boolean isWorseThan(Usage other) {
            return excess == other.excess ? total > other.total : excess > other.excess;
        }
    }

    /** What one response holds. */
    public final class Holding {
        private final TargetId target;
        private final ServiceName service;
        private final Runnable giveWay;
        private long heldBytes;

        private Holding(TargetId target, ServiceName service, Runnable giveWay) {
            this.target = target;
            this.service = service;
            this.giveWay = giveWay;
        }

        /** Returns the bytes that the response holds. */
        public long heldBytes() {
            return heldBytes;
        }

        /** Holds more, for which other responses may have to give way; returns false if it is this one that has to. */
        public boolean tryHold(long bytes) {
            checkArgument(bytes >= 0, "negative bytes: %s", bytes);
            long ceiling = heldBytes + bytes > SHORT_RESPONSE_BYTES ? limitOfLongResponses : limit;
            while (ResponseMemory.this.heldBytes + bytes > ceiling) {
                Holding worst = findWorst(this, bytes);
                ended++;
                if (worst == this) {
                    return false;
                }
                worst.giveWay.run();
                worst.release(worst.heldBytes);
            }
            add(bytes);
            return true;
        }

        private void add(long bytes) {
            if (bytes > 0) {
                heldBytes += bytes;
                ResponseMemory.this.heldBytes += bytes;
                holdings.add(this);
            }
        }

        /** Holds less; more than is held, as after the response gave way, is not released again. */
        public void release(long bytes) {
            long released = Math.min(bytes, heldBytes);
            heldBytes -= released;
            ResponseMemory.this.heldBytes -= released;
            if (heldBytes == 0) {
                holdings.remove(this);
            }
        }

        /** Records that a body or an event of the response is complete, which is proof of how long those of its service are. */
        public void onComplete(long bytes) {
            recordComplete(service, bytes);
        }
    }
}
