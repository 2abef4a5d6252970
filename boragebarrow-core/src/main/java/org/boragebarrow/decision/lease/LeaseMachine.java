package org.boragebarrow.decision.lease;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.lease.LeaseEffect.Call;
import org.boragebarrow.decision.lease.LeaseEffect.Held;
import org.boragebarrow.decision.lease.LeaseEffect.Lost;
import org.boragebarrow.decision.lease.LeaseEvent.Answered;
import org.boragebarrow.decision.lease.LeaseEvent.Ticked;
import org.boragebarrow.decision.lease.LeaseEvent.WantedChanged;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Acquires, renews and takes over one lease.
 *
 * <p>The holder increments a counter in the row. Another host takes over only after it has observed the row unchanged
 * for the lease's length on its own monotonic clock, and only if the row is still unchanged when the takeover commits.
 * The holder measures the length from the time at which it sent its last successful write, and stops a safety margin
 * earlier, so that clocks may run at slightly different rates. A holder that was paused beyond that time loses the
 * lease at the first event after the pause.
 */
public final class LeaseMachine implements Machine<LeaseEvent, LeaseEffect> {
    private static final int POLLS_PER_LENGTH = 4;
    private static final int RETRIES_PER_LENGTH = 20;
    private static final int MARGINS_PER_LENGTH = 5;

    private final String key;
    private final HostIncarnation self;
    private final long lengthNanos;
    private final long pollNanos;
    private final long retryNanos;
    private final long marginNanos;
    private boolean wanted;
    private Optional<Holding> holding = Optional.empty();
    private Optional<Observation> watch = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private boolean callPending;
    private long lastCallId;
    private long nextReadNanos;
    private long minVersion;

    /** Creates a lease with the given name and length, which this incarnation of a host does not hold yet. */
    public LeaseMachine(String name, HostIncarnation self, Duration length) {
        checkArgument(!name.isEmpty(), "lease name is empty");
        checkArgument(length.compareTo(Duration.ofMillis(100)) >= 0, "lease length is shorter than 100 ms: %s", length);
        this.key = "lease/" + name;
        this.self = checkNotNull(self);
        this.lengthNanos = length.toNanos();
        this.pollNanos = lengthNanos / POLLS_PER_LENGTH;
        this.retryNanos = lengthNanos / RETRIES_PER_LENGTH;
        this.marginNanos = lengthNanos / MARGINS_PER_LENGTH;
    }

    /** Returns the epoch if the host holds the lease at the given time. */
    public OptionalLong epoch(long nowNanos) {
        return isHeld(nowNanos) ? OptionalLong.of(holding.get().epoch) : OptionalLong.empty();
    }

    @Override
    public ImmutableList<LeaseEffect> apply(LeaseEvent event, long nowNanos) {
        ImmutableList.Builder<LeaseEffect> effects = ImmutableList.builder();
        if (holding.isPresent() && !isHeld(nowNanos)) {
            lose(effects);
        }
        switch (event) {
            case WantedChanged changed -> setWanted(changed.wanted(), nowNanos, effects);
            case Answered answered -> handleAnswer(answered, nowNanos, effects);
            case Ticked ticked -> {
                // poll() below reads the row if a read is due, as after every event.
            }
        }
        poll(nowNanos, effects);
        return effects.build();
    }

    private boolean isHeld(long nowNanos) {
        return holding.isPresent() && nowNanos - holding.get().expiryNanos < 0;
    }

    private void lose(ImmutableList.Builder<LeaseEffect> effects) {
        effects.add(new Lost(holding.get().epoch));
        holding = Optional.empty();
    }

    private void setWanted(boolean newWanted, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        if (newWanted == wanted) {
            return;
        }
        wanted = newWanted;
        nextReadNanos = nowNanos;
        watch = Optional.empty();
        if (!wanted && holding.isPresent()) {
            Holding ended = holding.get();
            lose(effects);
            ended.row.ifPresent(row -> release(row, effects));
        }
    }

    /** Clears the holder in the row; if this write fails, the next holder waits for the lease's length. */
    private void release(Row row, ImmutableList.Builder<LeaseEffect> effects) {
        lastCallId++;
        effects.add(new Call(
                lastCallId, commit(row.version(), LeaseRow.parse(row.value()).released())));
        callPending = false;
    }

    private void poll(long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        if (wanted && !callPending && nowNanos - nextReadNanos >= 0) {
            call(new TableCall.Get(key), effects);
        }
    }

    private void call(TableCall table, ImmutableList.Builder<LeaseEffect> effects) {
        lastCallId++;
        callPending = true;
        effects.add(new Call(lastCallId, table));
    }

    private void handleAnswer(Answered answered, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        if (!callPending || answered.callId() != lastCallId) {
            return;
        }
        callPending = false;
        nextReadNanos = nowNanos + retryNanos;
        switch (answered.answer()) {
            case TableAnswer.RowRead found -> handleRow(found.row(), nowNanos, effects);
            case TableAnswer.CommitFinished finished -> {
                if (finished.result() instanceof TableService.Committed) {
                    confirm(Optional.empty(), nowNanos, effects);
                    // Reads the row's new version, on which the next write is conditional.
                    nextReadNanos = nowNanos;
                }
            }
            case TableAnswer.ReadFailed failed -> {
                // The row is read again after the retry delay.
            }
            case TableAnswer.Scanned scanned -> throw new IllegalStateException("unexpected scan result");
        }
    }

    private void handleRow(Optional<Row> row, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        long version = row.map(Row::version).orElse(0L);
        if (version < minVersion) {
            // A stale read: this host has already observed a later version of the row.
            return;
        }
        minVersion = version;
        if (row.isEmpty()) {
            write(0, LeaseRow.first(self), nowNanos, effects);
            return;
        }
        LeaseRow current = LeaseRow.parse(row.get().value());
        if (attempt.isPresent() && current.equals(attempt.get().value)) {
            confirm(row, nowNanos, effects);
        }
        if (current.isHeldBy(self) && holding.isPresent() && holding.get().epoch == current.epoch()) {
            renew(row.get(), current, nowNanos, effects);
        } else if (current.isHeldBy(self) || current.isReleased()) {
            write(version, current.takenOverBy(self), nowNanos, effects);
        } else {
            watch(row.get(), current, nowNanos, effects);
        }
    }

    private void renew(Row row, LeaseRow current, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        Holding held = holding.get();
        held.row = Optional.of(row);
        if (nowNanos - held.renewNanos >= 0) {
            write(row.version(), current.renewed(), nowNanos, effects);
        } else {
            nextReadNanos = held.renewNanos;
        }
    }

    private void watch(Row row, LeaseRow current, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        nextReadNanos = nowNanos + pollNanos;
        if (holding.isPresent()) {
            if (current.epoch() > holding.get().epoch) {
                lose(effects);
            }
            return;
        }
        if (watch.isEmpty() || watch.get().version < row.version()) {
            watch = Optional.of(new Observation(row.version(), nowNanos));
        } else if (watch.get().version == row.version() && nowNanos - watch.get().sinceNanos >= lengthNanos) {
            write(row.version(), current.takenOverBy(self), nowNanos, effects);
        }
    }

    private void write(long version, LeaseRow value, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        boolean repeated = attempt.isPresent()
                && attempt.get().version == version
                && attempt.get().value.equals(value);
        if (!repeated) {
            // A repeated write keeps the time of the first one, because the first may be the one that takes effect.
            attempt = Optional.of(new Attempt(version, value, nowNanos));
        }
        call(commit(version, value), effects);
    }

    private TableCall commit(long version, LeaseRow value) {
        return new TableCall.Commit(
                ImmutableList.of(new Condition(key, version)), ImmutableList.of(Write.put(key, value.toString())));
    }

    /** Records the pending write as successful, which acquires or renews the lease unless it has already expired. */
    private void confirm(Optional<Row> row, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        Attempt completed = attempt.orElseThrow();
        attempt = Optional.empty();
        minVersion = Math.max(minVersion, completed.version + 1);
        long expiryNanos = completed.sentNanos + lengthNanos - marginNanos;
        if (nowNanos - expiryNanos >= 0) {
            return;
        }
        holding = Optional.of(new Holding(completed.value.epoch(), expiryNanos, completed.sentNanos + pollNanos, row));
        watch = Optional.empty();
        effects.add(new Held(completed.value.epoch(), expiryNanos));
    }

    private record Observation(long version, long sinceNanos) {}

    private record Attempt(long version, LeaseRow value, long sentNanos) {}

    /** The state of the lease while this host holds it. */
    private static final class Holding {
        private final long epoch;
        private final long expiryNanos;
        private final long renewNanos;
        private Optional<Row> row;

        Holding(long epoch, long expiryNanos, long renewNanos, Optional<Row> row) {
            this.epoch = epoch;
            this.expiryNanos = expiryNanos;
            this.renewNanos = renewNanos;
            this.row = row;
        }
    }
}
