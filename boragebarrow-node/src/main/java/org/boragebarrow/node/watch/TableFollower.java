package org.boragebarrow.node.watch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.HistoryLostException;
import org.boragebarrow.port.WatchedTable.Reading;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Keeps up with one table, one call at a time.
 *
 * <p>Confined to the event loop. Goes on from the last version it saw after a failure; reads the table anew only where
 * the history is gone.
 */
public final class TableFollower {
    /**
     * How often the store is asked.
     *
     * @param patience how long a call waits for changes: longer ones make fewer calls, and a lost answer is noticed later
     * @param rest the pause after an answer that brought something, so that changes in quick succession come together
     */
    public record Pace(Duration patience, Duration rest) {}

    /** Receives the table's state; called on the event loop. */
    public interface Listener {
        /** Receives a full reading. */
        void onReading(Reading reading);

        /** Receives changes, in order; may be empty. */
        void onChanges(Reading changes);

        /** Receives that the store does not answer; called once for each outage. */
        void onLost(String reason);

        /** Receives that the store answers again, before what it answered. */
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

    /** Creates a follower that does nothing before {@link #start}. */
    public TableFollower(EventLoop loop, WatchedTable table, Backoff backoff, Pace pace, Listener listener) {
        this.loop = checkNotNull(loop);
        this.table = checkNotNull(table);
        this.backoff = checkNotNull(backoff);
        this.pace = checkNotNull(pace);
        this.listener = checkNotNull(listener);
    }

    /** Starts with a full reading. */
    public void start() {
        next();
    }

    /** Gives up the call in progress, as the store is to be reached at another address, and makes the next one. */
    public void callAnew() {
        next();
    }

    /** Makes no more calls. */
    public void stop() {
        stopped = true;
    }

    private void next() {
        if (stopped) {
            return;
        }
        // A store that is back after it was silent never answers a call that it was sent before.
        Duration patience = lost ? Duration.ZERO : pace.patience();
        CompletableFuture<Reading> call = known ? table.changes(version, patience) : table.read();
        boolean full = !known;
        long current = ++round;
        call.whenComplete((reading, failure) -> loop.execute(() -> {
            if (current == round && !stopped) {
                onAnswer(full, reading, failure);
            }
        }));
    }

    private void onAnswer(boolean full, Reading reading, Throwable failure) {
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
            // A fault of the listener must not end the following; the table is read anew.
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
        long current = round;
        loop.schedule(
                () -> {
                    if (current == round) {
                        next();
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Takes what the store answered; a reading older than what is known would take the listener back. */
    private void deliver(boolean full, Reading reading) {
        if (full && reading.version() < version) {
            throw new IllegalStateException("a reading of version " + reading.version() + " after version " + version);
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
