package org.boragebarrow.decision.duplicate;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Limits second copies to a share of a service's requests, which organisations have in equal parts.
 *
 * <p>In each window of {@link #WINDOW} that ends with a copy, the copies of a service are at most the share of the requests
 * in that window. An organisation may have one of them, or its part if that is larger. Not thread-safe. Times are
 * monotonic nanoseconds.
 */
public final class DuplicateLimit {
    /** The sliding window in which requests and copies are counted. */
    public static final Duration WINDOW = Duration.ofSeconds(10);

    private static final int BUCKETS = 100;
    private static final long BUCKET_NANOS = WINDOW.toNanos() / BUCKETS;
    private static final int MAX_SERVICES = 256;
    private static final int MAX_ORGANISATIONS = 1_000;

    private final Map<ServiceName, Window> windows = bounded(MAX_SERVICES);
    private double share;

    /** Creates a limit that allows no copies. */
    public DuplicateLimit() {}

    /** Sets the copies per request, between 0 and 1. */
    public void setShare(double newShare) {
        checkArgument(newShare >= 0 && newShare <= 1, "share must be between 0 and 1: %s", newShare);
        share = newShare;
    }

    /** Returns whether any copies are allowed. */
    public boolean isEnabled() {
        return share > 0;
    }

    /** Records a request of which a copy might be sent. */
    public void onRequest(ServiceName service, Optional<OrganisationId> organisation, long now) {
        windows.computeIfAbsent(checkNotNull(service), name -> new Window())
                .addRequest(checkNotNull(organisation), now);
    }

    /** Records a copy if the limit allows one; returns false, and records nothing, if it does not. */
    public boolean tryAcquire(ServiceName service, Optional<OrganisationId> organisation, long now) {
        Window window = windows.get(checkNotNull(service));
        return window != null && window.tryAddCopy(checkNotNull(organisation), share, now);
    }

    private record Copy(Optional<OrganisationId> organisation, long at) {}

    private static final class Window {
        private final int[] counts = new int[BUCKETS];
        private final Map<Optional<OrganisationId>, Long> lastRequests = bounded(MAX_ORGANISATIONS);
        private final Deque<Copy> copies = new ArrayDeque<>();
        private long bucket;
        private int requests;

        void addRequest(Optional<OrganisationId> organisation, long now) {
            advance(now);
            counts[Math.floorMod(bucket, BUCKETS)]++;
            requests++;
            lastRequests.put(organisation, now);
        }

        boolean tryAddCopy(Optional<OrganisationId> organisation, double share, long now) {
            advance(now);
            while (!copies.isEmpty() && now - copies.peekFirst().at() > WINDOW.toNanos()) {
                copies.removeFirst();
            }
            double allowed = share * requests;
            if (copies.size() + 1 > allowed) {
                return false;
            }
            lastRequests.values().removeIf(at -> now - at > WINDOW.toNanos());
            double part = Math.max(1, allowed / Math.max(1, lastRequests.size()));
            long own = copies.stream()
                    .filter(copy -> copy.organisation().equals(organisation))
                    .count();
            if (own + 1 > part) {
                return false;
            }
            copies.addLast(new Copy(organisation, now));
            return true;
        }

        /** Forgets the requests of buckets that do not lie in the window entirely. */
        private void advance(long now) {
            long current = Math.floorDiv(now, BUCKET_NANOS);
            if (current - bucket >= BUCKETS || current < bucket) {
                Arrays.fill(counts, 0);
                requests = 0;
                bucket = current;
            }
            while (bucket < current) {
                bucket++;
                int index = Math.floorMod(bucket, BUCKETS);
                requests -= counts[index];
                counts[index] = 0;
            }
        }
    }

    private static <K, V> Map<K, V> bounded(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
