package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The requests that arrive while a host that has just started makes its first reads of the store.
 *
 * <p>They wait for these reads, as no other host may be ready either. Once all reads were answered, or one failed, no
 * further request waits. Not thread-safe. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: all hosts restart at once and their callers return at once, each with few repeats left.
 */
final class EarlyRequests {
    /** Maximum number of waiting requests: as many as a small host relays within the longest wait. */
    static final int MAX_REQUESTS = 16;

    /** The longest wait of a request; a caller that is refused then still has time for another host. */
    static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** The part of a caller's time limit that a request may wait, as its divisor. */
    private static final int TIME_LIMIT_DIVISOR = 3;

    /** Requests with short prompts first, then in order of arrival. */
    private static final Comparator<Early> SHORTEST_FIRST =
            Comparator.comparingLong(Early::promptTokens).thenComparingLong(Early::arrival);

    private final Runnable onEnd;
    private final List<Early> waiting = new ArrayList<>();
    private int pendingReads;
    private boolean ended;

    /**
     * Creates an empty queue.
     *
     * @param onEnd runs once, when no further request is to wait
     */
    EarlyRequests(Runnable onEnd) {
        this.onEnd = onEnd;
    }

    /** A request that arrived early. */
    record Early(RelayRequest request, ServerResponse response, long arrival) {
        private long promptTokens() {
            return request.promptSize().map(PromptSize::promptTokens).orElse(0L);
        }

        /** Returns how long the request waits at most. */
        Duration maxWait() {
            return request.timeLimit()
                    .map(limit -> Comparators.min(limit.dividedBy(TIME_LIMIT_DIVISOR), MAX_WAIT))
                    .orElse(MAX_WAIT);
        }
    }

    /** Adds a request; returns false if it is to be handled at once. */
    boolean offer(Early request) {
        return !ended && waiting.size() < MAX_REQUESTS && waiting.add(request);
    }

    /** Removes a request; returns false if it does not wait any more. */
    boolean remove(Early request) {
        return waiting.remove(request);
    }

    /** Removes all requests and returns them in the order in which to handle them. */
    ImmutableList<Early> removeAll() {
        ImmutableList<Early> sorted = ImmutableList.sortedCopyOf(SHORTEST_FIRST, waiting);
        waiting.clear();
        return sorted;
    }

    /** Returns a listener of a table that passes everything on, and whose first read is waited for. */
    TableFollower.Listener awaitingFirstRead(TableFollower.Listener listener) {
        checkArgument(!ended, "the first reads have ended");
        pendingReads++;
        return new FirstReadListener(listener);
    }

    /** Lets no further request wait. */
    void end() {
        if (!ended) {
            ended = true;
            onEnd.run();
        }
    }

    private final class FirstReadListener implements TableFollower.Listener {
        private final TableFollower.Listener listener;
        private boolean read;

        FirstReadListener(TableFollower.Listener listener) {
            this.listener = listener;
        }

        @Override
        public void onFullRead(VersionedRows rows) {
            listener.onFullRead(rows);
            if (!read) {
                read = true;
                pendingReads--;
                if (pendingReads == 0) {
                    end();
                }
            }
        }

        @Override
        public void onChanges(VersionedRows changes) {
            listener.onChanges(changes);
        }

        @Override
        public void onUnavailable(String reason) {
            listener.onUnavailable(reason);
            end();
        }

        @Override
        public void onAvailable() {
            listener.onAvailable();
        }
    }
}
