package org.boragebarrow.node.watch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.HistoryLostException;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Reads one table and then polls it for changes, with one call at a time.
 *
 * <p>Confined to the event loop. After a failure of the store it resumes from the last version it received; it reads
 * the whole table again only if the store has dropped the changes since that version, or if the listener throws.
 */
public final class TableFollower {
    /**
     * The timing of the calls to the store.
     *
     * @param patience how long a call waits for changes: longer waits need fewer calls, but detect a lost answer later
     * @param rest the delay before the next call after an answer with changes, so that it returns changes in quick
     *     succession together
     */
    public record Pace(Duration patience, Duration rest) {}

    /** Receives the table's state and changes; called on the event loop. */
    public interface Listener {
        /** Receives the full content of the table. */
        void onReading(VersionedRows reading);

        /** Receives changes in order of version; called with no rows if a call returned without changes. */
        void onChanges(VersionedRows changes);

        /** Called when the store stops answering; once for each outage. */
        void onLost(String reason);

        /** Called when the store answers again, before the answer is delivered. */
        void onRegained();
    }

    private final EventLoop loop;
    private final WatchedTable table;
    private final Backoff backoff;
    private final Pace pace;
    private final Listener listener;
    private boolean known;
    private boolean lost;
    private boolean stopped;
    private int failures;
    private long version;
    private long round;

    /** Creates a follower that makes no calls until {@link #start}. */
    public TableFollower(EventLoop loop, WatchedTable table, Backoff backoff, Pace timing, Listener listener) {
        this.loop = checkNotNull(loop);
        this.table = checkNotNull(table);
        this.backoff = checkNotNull(backoff);
        this.pace = checkNotNull(timing);
        this.listener = checkNotNull(listener);
    }

    /** Starts following with a full read of the table. */
    public void start() {
        next();
    }

    /** Abandons the call in progress and makes the next one, for use after the store's address has changed. */
    public void callAnew() {
        next();
    }

    /** Stops following; an answer that is still outstanding is ignored. */
    public void stop() {
        stopped = true;
    }

    private void next() {
        if (stopped) {
            return;
        }
        // After an outage the store never answers the calls that it received before, so calls do not wait meanwhile.
        Duration wait = lost ? Duration.ZERO : pace.patience();
        CompletableFuture<VersionedRows> call = known ? table.changes(version, wait) : table.read();
        boolean full = !known;
        long callNumber = ++round;
        call.whenComplete((reading, failure) -> loop.execute(() -> {
            if (callNumber == round && !stopped) {
                onAnswer(full, reading, failure);
            }
        }));
    }

    private void onAnswer(boolean full, VersionedRows reading, Throwable failure) {
        if (failure != null) {
            onFailure(failure instanceof CompletionException ? failure.getCause() : failure);
            return;
        }
        failures = 0;
        if (lost) {
            lost = false;
            listener.onRegained();
        }
        try {
            deliver(full, reading);
        } catch (RuntimeException e) {
            // An exception in the listener must not stop the follower; the whole table is read again.
            known = false;
            onFailure(e);
            return;
        }
        if (reading.rows().isEmpty() || pace.rest().isZero()) {
            next();
        } else {
            nextAfter(pace.rest());
        }
    }

    private void nextAfter(Duration delay) {
        long callNumber = round;
        loop.schedule(
                () -> {
                    if (callNumber == round) {
                        next();
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Passes an answer to the listener; a full reading of an older version is rejected, as it would revert changes. */
    private void deliver(boolean full, VersionedRows reading) {
        if (full && reading.version() < version) {
            throw new IllegalStateException("read of version " + reading.version() + " after version " + version);
        }
        version = Math.max(version, reading.version());
        known = true;
        if (full) {
            listener.onReading(reading);
        } else {
            listener.onChanges(reading);
        }
    }

    private void onFailure(Throwable failure) {
        failures++;
        if (failure instanceof HistoryLostException) {
            known = false;
        } else if (!lost) {
            lost = true;
            listener.onLost(String.valueOf(failure.getMessage()));
        }
        nextAfter(backoff.delay(failures));
    }
}
