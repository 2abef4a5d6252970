package org.boragebarrow.node.watch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.HistoryLostException;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Reads one table and then polls it for changes, with one call at a time.
 *
 * <p>Confined to the event loop. After a failure of the store it resumes from the last position it received; it reads
 * the whole table again only if the store has dropped the changes since that position, if it has begun another era, or if the
 * listener throws.
 */
public final class TableFollower {
    /**
     * The timing of the calls to the store.
     *
     * @param maxWait how long a call waits for changes: longer waits need fewer calls, but detect a lost answer later
     * @param delayAfterChanges the delay before the next call after an answer with changes, so that one call returns
     *     changes in quick succession together
     */
    public record PollTiming(Duration maxWait, Duration delayAfterChanges) {}

    /** Receives the table's state and changes; called on the event loop. */
    public interface Listener {
        /** Receives the full content of the table. */
        void onFullRead(VersionedRows rows);

        /** Receives changes in order of version; called with no rows if a call returned without changes. */
        void onChanges(VersionedRows changes);

        /** Called when the store stops answering; once for each outage. */
        void onUnavailable(String reason);

        /** Called when the store answers again, before the answer is delivered. */
        void onAvailable();
    }

    private final EventLoop loop;
    private final WatchedTable table;
    private final Backoff backoff;
    private final PollTiming timing;
    private final Listener listener;
    private boolean synchronised;
    private boolean unavailable;
    private boolean stopped;
    private int failures;
    private Duration delayAfterChanges;
    private StorePosition position = StorePosition.START;
    private long currentCall;

    /** Creates a follower that makes no calls until {@link #start}. */
    public TableFollower(EventLoop loop, WatchedTable table, Backoff backoff, PollTiming timing, Listener listener) {
        this.loop = checkNotNull(loop);
        this.table = checkNotNull(table);
        this.backoff = checkNotNull(backoff);
        this.timing = checkNotNull(timing);
        this.delayAfterChanges = timing.delayAfterChanges();
        this.listener = checkNotNull(listener);
    }

    /** Starts following with a full read of the table. */
    public void start() {
        call();
    }

    /** Replaces the delay before the next call after an answer with changes, from the next such answer on. */
    public void setDelayAfterChanges(Duration delay) {
        delayAfterChanges = checkNotNull(delay);
    }

    /** Abandons the call in progress and makes the next one, for use after the store's address has changed. */
    public void restartCall() {
        call();
    }

    /** Abandons the call in progress and reads the whole table after the delay, for use after another era has begun. */
    public void readAgain(Duration delay) {
        synchronised = false;
        currentCall++;
        callAfter(delay);
    }

    /** Stops following; an answer that is still outstanding is ignored. */
    public void stop() {
        stopped = true;
    }

    private void call() {
        if (stopped) {
            return;
        }
        // After an outage, the store never answers a call that it received earlier, so calls do not wait meanwhile.
        Duration wait = unavailable ? Duration.ZERO : timing.maxWait();
        CompletableFuture<VersionedRows> call = synchronised ? table.changes(position, wait) : table.read();
        boolean full = !synchronised;
        long callNumber = ++currentCall;
        call.whenComplete((answer, failure) -> loop.execute(() -> {
            if (callNumber == currentCall && !stopped) {
                onAnswer(full, answer, failure);
            }
        }));
    }

    private void onAnswer(boolean full, VersionedRows answer, Throwable failure) {
        if (failure != null) {
            onFailure(failure instanceof CompletionException ? failure.getCause() : failure);
            return;
        }
        failures = 0;
        if (unavailable) {
            unavailable = false;
            listener.onAvailable();
        }
        try {
            deliver(full, answer);
        } catch (RuntimeException e) {
            // An exception in the listener must not stop the follower; the whole table is read again.
            synchronised = false;
            onFailure(e);
            return;
        }
        if (answer.rows().isEmpty() || delayAfterChanges.isZero()) {
            call();
        } else {
            callAfter(delayAfterChanges);
        }
    }

    private void callAfter(Duration delay) {
        long callNumber = currentCall;
        loop.schedule(
                () -> {
                    if (callNumber == currentCall) {
                        call();
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Passes an answer to the listener; a full read of an earlier position is rejected, as it would revert changes. */
    private void deliver(boolean full, VersionedRows answer) {
        if (full && answer.position().isBefore(position)) {
            throw new IllegalStateException("read of version " + answer.position() + " after version " + position);
        }
        position = StorePosition.max(position, answer.position());
        synchronised = true;
        if (full) {
            listener.onFullRead(answer);
        } else {
            listener.onChanges(answer);
        }
    }

    private void onFailure(Throwable failure) {
        failures++;
        if (failure instanceof HistoryLostException) {
            synchronised = false;
        } else if (!unavailable) {
            unavailable = true;
            listener.onUnavailable(String.valueOf(failure.getMessage()));
        }
        callAfter(backoff.delay(failures));
    }
}
