package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import com.google.common.collect.TreeMultiset;
import org.boragebarrow.decision.urgency.Standing;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.UrgencyRank;

/**
 * The work that waits for a target, and the order in which it is reconsidered.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class WaitingWork {
    /**
     * Minimum interval between reviews of the queued long prompts, which weigh many targets each; a small fraction of
     * the time for which such a prompt waits.
     */
    private static final Duration LONG_REVIEW_INTERVAL = Duration.ofMillis(15);

    private final ServiceRooms rooms;
    private final Map<AttemptId, QueuedWork> queue = new LinkedHashMap<>();
    private final Map<ServiceName, Multiset<UrgencyRank>> ranks = new HashMap<>();
    private Optional<Long> longReviewedAt = Optional.empty();

    WaitingWork(ServiceRooms rooms) {
        this.rooms = rooms;
    }

    private record Placed(QueuedWork queued, Standing standing) {
        UrgencyRank rank() {
            return standing.rank();
        }
    }

    void add(QueuedWork queued, long now) {
        remove(queued.work().id());
        queue.put(queued.work().id(), queued);
        ServiceName service = queued.work().service();
        Multiset<UrgencyRank> waiting = ranks.computeIfAbsent(service, name -> TreeMultiset.create());
        if (waiting.isEmpty()) {
            rooms.of(service).rate().onScarce(now);
        }
        waiting.add(queued.work().terms().rank());
    }

    /** Removes work; returns whether it was queued. */
    boolean remove(AttemptId id) {
        QueuedWork removed = queue.remove(id);
        if (removed == null) {
            return false;
        }
        ServiceName service = removed.work().service();
        Multiset<UrgencyRank> waiting = ranks.get(service);
        waiting.remove(removed.work().terms().rank());
        if (waiting.isEmpty()) {
            ranks.remove(service);
        }
        return true;
    }

    void removeAllOf(HostId host) {
        List<AttemptId> lost = queue.keySet().stream()
                .filter(id -> id.owner().host().equals(host))
                .toList();
        lost.forEach(this::remove);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    int count(ServiceName service) {
        Multiset<UrgencyRank> waiting = ranks.get(service);
        return waiting == null ? 0 : waiting.size();
    }

    /** Returns the ranks of the work that waits for the service. */
    Set<UrgencyRank> ranks(ServiceName service) {
        Multiset<UrgencyRank> waiting = ranks.get(service);
        return waiting == null ? ImmutableSet.of() : waiting.elementSet();
    }

    /** Returns the services for which work waits. */
    ImmutableSet<ServiceName> services() {
        return ImmutableSet.copyOf(ranks.keySet());
    }

    /** Returns the work to reconsider now, in order: long prompts are reconsidered at intervals. */
    List<QueuedWork> due(long now) {
        boolean reviewsLong = longReviewedAt
                .map(last -> now - last >= LONG_REVIEW_INTERVAL.toNanos())
                .orElse(true);
        if (reviewsLong) {
            longReviewedAt = Optional.of(now);
        }
        List<QueuedWork> due = new ArrayList<>(queue.size());
        for (ServiceName service : services()) {
            due.addAll(inOrder(service, queued -> reviewsLong || !queued.isLong(), now));
        }
        return due;
    }

    /** Returns the work of the service that waits for one target, or for several, in the order in which it goes. */
    List<QueuedWork> line(ServiceName service, boolean isLong, long now) {
        return inOrder(service, queued -> queued.isLong() == isLong, now);
    }

    private List<QueuedWork> inOrder(ServiceName service, Predicate<QueuedWork> included, long now) {
        ServiceRoom room = rooms.of(service);
        List<Placed> placed = new ArrayList<>(queue.size());
        for (QueuedWork queued : queue.values()) {
            if (queued.work().service().equals(service) && included.test(queued)) {
                placed.add(new Placed(queued, queued.standing(room.isOverShare(queued.work()), now)));
            }
        }
        placed.sort(Comparator.comparing(Placed::standing));
        return room.turns().arrange(placed, Placed::rank).stream()
                .map(Placed::queued)
                .toList();
    }

    /** Returns the waiting work of the same service that goes before the given work, and waits for as many targets. */
    List<QueuedWork> ahead(QueuedWork newcomer, long now) {
        ServiceRoom room = rooms.of(newcomer.work().service());
        Standing standing = newcomer.standing(room.isOverShare(newcomer.work()), now);
        List<QueuedWork> ahead = new ArrayList<>();
        for (QueuedWork queued : queue.values()) {
            boolean competes = queued.isLong() == newcomer.isLong()
                    && queued.work().service().equals(newcomer.work().service());
            if (competes
                    && queued.standing(room.isOverShare(queued.work()), now).compareTo(standing) <= 0) {
                ahead.add(queued);
            }
        }
        return ahead;
    }
}
