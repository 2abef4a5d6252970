package org.boragebarrow.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.TableService;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A deterministic table service in memory.
 *
 * <p>An immediate table completes each call before it returns. A stepped table queues each call: one step lets it take
 * effect, a further step completes its future, and steps of different calls can be taken in any order. In both, a
 * delayed commit takes effect in a step of its own after its caller has been told {@link Unknown}.
 *
 * <p>Not thread-safe.
 */
public final class FakeTable implements TableService {
    private static final int KEPT_COMMITS = 1_000;

    private final boolean stepped;
    private final SplittableRandom random;
    private final MemoryTable rows = new MemoryTable(KEPT_COMMITS);
    private final List<Runnable> steps = new ArrayList<>();
    private FaultRates faultRates = FaultRates.NONE;
    private Optional<CommitFault> nextFault = Optional.empty();
    private int staleCommits;
    private boolean down;
    private long reads;
    private long writes;

    private FakeTable(boolean stepped, long seed) {
        this.stepped = stepped;
        this.random = new SplittableRandom(seed);
    }

    /** Returns a table that completes each call at once. */
    public static FakeTable immediate(long seed) {
        return new FakeTable(false, seed);
    }

    /** Returns a table that queues each call until {@link #deliver}, {@link #deliverAny} or {@link #deliverAll}. */
    public static FakeTable stepped(long seed) {
        return new FakeTable(true, seed);
    }

    /** Lets the next commit that reaches the service meet the given fault, whatever the rates say. */
    public void failNextCommit(CommitFault fault) {
        nextFault = Optional.of(fault);
    }

    /** Sets the rates from which each commit's fault is drawn. */
    public void setFaultRates(FaultRates faultRates) {
        this.faultRates = checkNotNull(faultRates);
    }

    /** Lets each read that takes effect see the table as it was up to this many commits ago, drawn for each read. */
    public void setStaleCommits(int staleCommits) {
        checkArgument(staleCommits >= 0, "stale commits must not be negative: %s", staleCommits);
        this.staleCommits = staleCommits;
    }

    /** Sets whether the service refuses all calls that would take effect from now on. */
    public void setDown(boolean down) {
        this.down = down;
    }

    /** Returns the number of steps that wait. */
    public int pending() {
        return steps.size();
    }

    /** Takes the oldest step; returns false if none waits. */
    public boolean deliver() {
        return !steps.isEmpty() && deliver(0);
    }

    /** Takes one step, counted from the oldest; always returns true. */
    public boolean deliver(int index) {
        steps.remove(index).run();
        return true;
    }

    /** Takes a step that the seeded generator picks; returns false if none waits. */
    public boolean deliverAny() {
        return !steps.isEmpty() && deliver(random.nextInt(steps.size()));
    }

    /** Takes steps, oldest first, until none waits. */
    public void deliverAll() {
        while (deliver()) {
            continue;
        }
    }

    /** Returns the rows themselves, for setting up and for checking. */
    public MemoryTable rows() {
        return rows;
    }

    /** Returns how many reads took effect, refused ones included. */
    public long reads() {
        return reads;
    }

    /** Returns how many commits reached the service, refused ones included. */
    public long writes() {
        return writes;
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        checkNotNull(key);
        return read(() -> rows.get(key, commitsAgo()));
    }

    @Override
    public CompletableFuture<ImmutableList<Row>> scan(String prefix, int limit) {
        checkNotNull(prefix);
        return read(() -> rows.scan(prefix, limit, commitsAgo()));
    }

    @Override
    public CompletableFuture<CommitResult> commit(ImmutableList<Condition> conditions, ImmutableList<Write> changes) {
        checkNotNull(conditions);
        checkNotNull(changes);
        CompletableFuture<CommitResult> future = new CompletableFuture<>();
        enqueue(() -> {
            CommitResult result = apply(conditions, changes);
            enqueue(() -> future.complete(result));
        });
        return future;
    }

    private <T> CompletableFuture<T> read(Supplier<T> query) {
        CompletableFuture<T> future = new CompletableFuture<>();
        enqueue(() -> {
            reads++;
            if (down) {
                enqueue(() -> future.completeExceptionally(new TableUnavailableException("the fake table is down")));
                return;
            }
            T result = query.get();
            enqueue(() -> future.complete(result));
        });
        return future;
    }

    private CommitResult apply(ImmutableList<Condition> conditions, ImmutableList<Write> changes) {
        writes++;
        CommitFault drawn = faultRates.draw(random);
        CommitFault fault = down ? CommitFault.REFUSED : nextFault.orElse(drawn);
        nextFault = Optional.empty();
        return switch (fault) {
            case NONE -> rows.commit(conditions, changes) ? new Committed() : new Conflict();
            case REFUSED -> new Unavailable();
            case LOST_BEFORE_EFFECT -> new Unknown();
            case LOST_AFTER_EFFECT -> {
                rows.commit(conditions, changes);
                yield new Unknown();
            }
            case DELAYED -> {
                steps.add(() -> rows.commit(conditions, changes));
                yield new Unknown();
            }
        };
    }

    private int commitsAgo() {
        return staleCommits == 0 ? 0 : random.nextInt(staleCommits + 1);
    }

    private void enqueue(Runnable step) {
        if (stepped) {
            steps.add(step);
        } else {
            step.run();
        }
    }
}
