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
import org.boragebarrow.model.HostLife;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Holds, renews and takes over one lease.
 *
 * <p>The holder raises a counter in the row. Another host takes over only after it has seen the row stand still for the
 * lease's length on its own monotonic clock, and only if the row still stands still at that moment. The holder counts the
 * length from the moment when it sent its last successful write and stops a margin earlier, so that clocks may run at
 * slightly different speeds. A holder that was paused loses the lease with the first event after the pause.
 */
public final class LeaseMachine implements Machine<LeaseEvent, LeaseEffect> {
    private static final int POLLS_PER_LENGTH = 4;
    private static final int RETRIES_PER_LENGTH = 20;
    private static final int MARGINS_PER_LENGTH = 5;

    private final String key;
    private final HostLife self;
    private final long lengthNanos;
    private final long pollNanos;
    private final long retryNanos;
    private final long marginNanos;
    private boolean wanted;
    private Optional<Holding> holding = Optional.empty();
    private Optional<Watch> watch = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private boolean calling;
    private long lastCall;
    private long nextNanos;
    private long lowestVersion;

    /** Creates a lease with the given name and length that this life of a host does not hold. */
    public LeaseMachine(String name, HostLife self, Duration length) {
        checkArgument(!name.isEmpty(), "empty name");
        checkArgument(length.compareTo(Duration.ofMillis(100)) >= 0, "too short: %s", length);
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
            case WantedChanged changed -> want(changed.wanted(), nowNanos, effects);
            case Answered answered -> answer(answered, nowNanos, effects);
            case Ticked ticked -> {
                // Each event reads the row when that is due.
            }
        }
        poll(nowNanos, effects);
        return effects.build();
    }

    private boolean isHeld(long nowNanos) {
        return holding.isPresent() && nowNanos - holding.get().untilNanos < 0;
    }

    private void lose(ImmutableList.Builder<LeaseEffect> effects) {
        effects.add(new Lost(holding.get().epoch));
        holding = Optional.empty();
    }

    private void want(boolean nowWanted, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        if (nowWanted == wanted) {
            return;
        }
        wanted = nowWanted;
        nextNanos = nowNanos;
        watch = Optional.empty();
        if (!wanted && holding.isPresent()) {
            Holding ended = holding.get();
            lose(effects);
            ended.row.ifPresent(row -> release(row, effects));
        }
    }

    /** Writes that nobody holds the lease; if that fails the next holder just waits for the lease's length. */
    private void release(Row row, ImmutableList.Builder<LeaseEffect> effects) {
        lastCall++;
        effects.add(new Call(
                lastCall, commit(row.version(), LeaseRow.parse(row.value()).released())));
        calling = false;
    }

    private void poll(long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        if (wanted && !calling && nowNanos - nextNanos >= 0) {
            call(new TableCall.Get(key), effects);
        }
    }

    private void call(TableCall table, ImmutableList.Builder<LeaseEffect> effects) {
        lastCall++;
        calling = true;
        effects.add(new Call(lastCall, table));
    }

    private void answer(Answered answered, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        if (!calling || answered.call() != lastCall) {
            return;
        }
        calling = false;
        nextNanos = nowNanos + retryNanos;
        switch (answered.answer()) {
            case TableAnswer.Found found -> read(found.row(), nowNanos, effects);
            case TableAnswer.Finished finished -> {
                if (finished.result() instanceof TableService.Committed) {
                    confirm(Optional.empty(), nowNanos, effects);
                    // Learns the row's new version, which the next write depends on.
                    nextNanos = nowNanos;
                }
            }
            case TableAnswer.ReadFailed failed -> {
                // The next read comes after the retry delay.
            }
            case TableAnswer.Scanned scanned -> throw new IllegalStateException("no scan was asked for");
        }
    }

    private void read(Optional<Row> row, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        long version = row.map(Row::version).orElse(0L);
        if (version < lowestVersion) {
            // An old state of the row, which this host knows to have passed.
            return;
        }
        lowestVersion = version;
        if (row.isEmpty()) {
            write(0, LeaseRow.first(self), nowNanos, effects);
            return;
        }
        LeaseRow present = LeaseRow.parse(row.get().value());
        if (attempt.isPresent() && present.equals(attempt.get().value)) {
            confirm(row, nowNanos, effects);
        }
        if (present.isHeldBy(self) && holding.isPresent() && holding.get().epoch == present.epoch()) {
            renew(row.get(), present, nowNanos, effects);
        } else if (present.isHeldBy(self) || present.isReleased()) {
            write(version, present.takenOver(self), nowNanos, effects);
        } else {
            watch(row.get(), present, nowNanos, effects);
        }
    }

    private void renew(Row row, LeaseRow present, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        Holding now = holding.get();
        now.row = Optional.of(row);
        if (nowNanos - now.renewNanos >= 0) {
            write(row.version(), present.raised(), nowNanos, effects);
        } else {
            nextNanos = now.renewNanos;
        }
    }

    private void watch(Row row, LeaseRow present, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        nextNanos = nowNanos + pollNanos;
        if (holding.isPresent()) {
            if (present.epoch() > holding.get().epoch) {
                lose(effects);
            }
            return;
        }
        if (watch.isEmpty() || watch.get().version < row.version()) {
            watch = Optional.of(new Watch(row.version(), nowNanos));
        } else if (watch.get().version == row.version() && nowNanos - watch.get().sinceNanos >= lengthNanos) {
            write(row.version(), present.takenOver(self), nowNanos, effects);
        }
    }

    private void write(long version, LeaseRow value, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        boolean again = attempt.isPresent()
                && attempt.get().version == version
                && attempt.get().value.equals(value);
        if (!again) {
            // A repeat keeps the first sending's time, because the first may be the one that takes effect.
            attempt = Optional.of(new Attempt(version, value, nowNanos));
        }
        call(commit(version, value), effects);
    }

    private TableCall commit(long version, LeaseRow value) {
        return new TableCall.Commit(
                ImmutableList.of(new Condition(key, version)), ImmutableList.of(Write.put(key, value.toString())));
    }

    /** Counts the attempt as done: acquires the lease or prolongs it. */
    private void confirm(Optional<Row> row, long nowNanos, ImmutableList.Builder<LeaseEffect> effects) {
        Attempt done = attempt.orElseThrow();
        attempt = Optional.empty();
        lowestVersion = Math.max(lowestVersion, done.version + 1);
        long until = done.sentNanos + lengthNanos - marginNanos;
        if (nowNanos - until >= 0) {
            return;
        }
        holding = Optional.of(new Holding(done.value.epoch(), until, done.sentNanos + pollNanos, row));
        watch = Optional.empty();
        effects.add(new Held(done.value.epoch(), until));
    }

    private record Watch(long version, long sinceNanos) {}

    private record Attempt(long version, LeaseRow value, long sentNanos) {}

    /** The lease while this host holds it. */
    private static final class Holding {
        private final long epoch;
        private final long untilNanos;
        private final long renewNanos;
        private Optional<Row> row;

        Holding(long epoch, long untilNanos, long renewNanos, Optional<Row> row) {
            this.epoch = epoch;
            this.untilNanos = untilNanos;
            this.renewNanos = renewNanos;
            this.row = row;
        }
    }
}
