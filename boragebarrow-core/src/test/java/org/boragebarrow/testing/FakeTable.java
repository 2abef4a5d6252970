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
 * A deterministic in-memory table service.
 *
 * <p>An immediate table completes each call before it returns. A stepped table queues each call: one step applies it, a
 * further step completes its future, and steps of different calls can be run in any order. In both, a delayed commit is
 * applied by a separate step, which is queued before the caller receives {@link Unknown}.
 *
 * <p>Not thread-safe.
 */
public final class FakeTable implements TableService {
    private static final int RETAINED_COMMITS = 1_000;

    private final boolean stepped;
    private final SplittableRandom random;
    private final MemoryTable rows = new MemoryTable(RETAINED_COMMITS);
    private final List<Runnable> steps = new ArrayList<>();
    private FaultRates faultRates = FaultRates.NONE;
    private Optional<CommitFault> nextFault = Optional.empty();
    private int maxStaleCommits;
    private boolean down;
    private long readCount;
    private long commitCount;

    private FakeTable(boolean stepped, long seed) {
        this.stepped = stepped;
        this.random = new SplittableRandom(seed);
    }

    /** Returns a table that completes each call before it returns. */
    public static FakeTable immediate(long seed) {
        return new FakeTable(false, seed);
    }

    /** Returns a table that queues the steps of each call until the test runs them. */
    public static FakeTable stepped(long seed) {
        return new FakeTable(true, seed);
    }

    /** Sets the fault of the next commit that reaches the service, which overrides the rates. */
    public void failNextCommit(CommitFault fault) {
        nextFault = Optional.of(fault);
    }

    /** Sets the probabilities of the faults of each commit. */
    public void setFaultRates(FaultRates faultRates) {
        this.faultRates = checkNotNull(faultRates);
    }

    /** Sets the maximum staleness of reads, in commits; the staleness of each read is drawn at random. */
    public void setMaxStaleCommits(int maxStaleCommits) {
        checkArgument(maxStaleCommits >= 0, "maximum stale commits must not be negative: %s", maxStaleCommits);
        this.maxStaleCommits = maxStaleCommits;
    }

    /** Sets whether the service refuses all calls that are applied from now on. */
    public void setDown(boolean down) {
        this.down = down;
    }

    /** Returns the number of queued steps. */
    public int queuedSteps() {
        return steps.size();
    }

    /** Runs the oldest step. Returns {@code false} if none is queued. */
    public boolean runStep() {
        return !steps.isEmpty() && runStep(0);
    }

    /** Runs the step at the index, counted from the oldest. Always returns {@code true}. */
    public boolean runStep(int index) {
        steps.remove(index).run();
        return true;
    }

    /** Runs a step that the seeded generator selects. Returns {@code false} if none is queued. */
    public boolean runRandomStep() {
        return !steps.isEmpty() && runStep(random.nextInt(steps.size()));
    }

    /** Runs steps, oldest first, until none is queued. */
    public void runAllSteps() {
        while (runStep()) {
            continue;
        }
    }

    /** Returns the rows, for test setup and assertions. */
    public MemoryTable rows() {
        return rows;
    }

    /** Returns the number of reads that reached the service, including refused ones. */
    public long readCount() {
        return readCount;
    }

    /** Returns the number of commits that reached the service, including refused ones. */
    public long commitCount() {
        return commitCount;
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
    public CompletableFuture<CommitResult> commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
        checkNotNull(conditions);
        checkNotNull(writes);
        CompletableFuture<CommitResult> future = new CompletableFuture<>();
        enqueue(() -> {
            CommitResult result = apply(conditions, writes);
            enqueue(() -> future.complete(result));
        });
        return future;
    }

    private <T> CompletableFuture<T> read(Supplier<T> query) {
        CompletableFuture<T> future = new CompletableFuture<>();
        enqueue(() -> {
            readCount++;
            if (down) {
                enqueue(() -> future.completeExceptionally(new TableUnavailableException("fake table unavailable")));
                return;
            }
            T result = query.get();
            enqueue(() -> future.complete(result));
        });
        return future;
    }

    private CommitResult apply(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
        commitCount++;
        CommitFault drawn = faultRates.draw(random);
        CommitFault fault = down ? CommitFault.REFUSED : nextFault.orElse(drawn);
        nextFault = Optional.empty();
        return switch (fault) {
            case NONE -> rows.commit(conditions, writes) ? new Committed() : new Conflict();
            case REFUSED -> new Unavailable();
            case LOST_BEFORE_EFFECT -> new Unknown();
            case LOST_AFTER_EFFECT -> {
                rows.commit(conditions, writes);
                yield new Unknown();
            }
            case DELAYED -> {
                steps.add(() -> rows.commit(conditions, writes));
                yield new Unknown();
            }
        };
    }

    private int commitsAgo() {
        return maxStaleCommits == 0 ? 0 : random.nextInt(maxStaleCommits + 1);
    }

    private void enqueue(Runnable step) {
        if (stepped) {
            steps.add(step);
        } else {
            step.run();
        }
    }
}
