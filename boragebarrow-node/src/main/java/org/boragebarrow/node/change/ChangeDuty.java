package org.boragebarrow.node.change;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.base.Ticker;
import org.boragebarrow.decision.change.Change;
import org.boragebarrow.decision.change.ChangeBatch;
import org.boragebarrow.decision.change.ChangeCodec;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.ChangeFollower;
import org.boragebarrow.decision.change.ChangeFollowerEffect;
import org.boragebarrow.decision.change.ChangeFollowerEvent;
import org.boragebarrow.decision.change.ChangeState;
import org.boragebarrow.decision.change.ChangeWriter;
import org.boragebarrow.decision.change.ChangeWriterEffect;
import org.boragebarrow.decision.change.ChangeWriterEvent;
import org.boragebarrow.decision.change.SnapshotEffect;
import org.boragebarrow.decision.change.SnapshotEvent;
import org.boragebarrow.decision.change.SnapshotWriter;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCalls;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.port.TableService;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Runs {@link ChangeFollower}, {@link ChangeWriter} and {@link SnapshotWriter} on a dedicated thread.
 *
 * <p>Thread-safe.
 */
public final class ChangeDuty implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ChangeDuty.class);
    private static final int MAX_BATCH_SIZE = 256;

    /** Receives the decisions of the duty, on its thread. */
    public interface Listener {
        /** Receives a later state that is now in effect. */
        void onConfigured(ChangeState state);

        /** Requests from a peer the changes after a number. */
        void fetch(HostId peer, long after);

        /** Sends changes to a peer that requested them. */
        void deliver(HostId peer, ChangeBatch batch);
    }

    /** An event for the duty's thread. */
    private sealed interface Input {}

    private record Follow(ChangeFollowerEvent event) implements Input {}

    private record Write(ChangeWriterEvent event) implements Input {}

    private record Snapshot(SnapshotEvent event) implements Input {}

    private record Serve(HostId peer, long after, int limit) implements Input {}

    private final ChangeFollower follower;
    private final ChangeWriter writer;
    private final SnapshotWriter snapshotWriter;
    private final TableService table;
    private final Ticker ticker;
    private final Listener listener;
    private final DutyRing<Input> ring;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final Map<Long, CompletableFuture<Change>> pendingAppends = new ConcurrentHashMap<>();

    private volatile ChangeState state = ChangeState.empty();
    private volatile boolean ready;
    private volatile boolean tableUnreachable;

    /** Creates the duty and starts its thread. */
    public ChangeDuty(ChangeCodec codec, TableService table, Ticker ticker, Listener listener, DutyRing.Factory rings) {
        this.follower = new ChangeFollower(codec);
        this.writer = new ChangeWriter(codec);
        this.snapshotWriter = new SnapshotWriter(codec);
        this.table = checkNotNull(table);
        this.ticker = checkNotNull(ticker);
        this.listener = checkNotNull(listener);
        this.ring = rings.start("change", this::handle);
    }

    /** Returns the state in effect at this host. */
    public ChangeState state() {
        return state;
    }

    /** Returns whether the host may serve, that is, whether every change accepted before it started is in effect. */
    public boolean isReady() {
        return ready;
    }

    /** Queues an event for the follower. It is dropped if the ring is full; the next poll makes up for it. */
    public void offer(ChangeFollowerEvent event) {
        ring.offer(new Follow(event));
    }

    /** Sends a peer the changes after a number, at most {@code limit} of them. */
    public void serve(HostId peer, long after, int limit) {
        ring.offer(new Serve(peer, after, Math.min(limit, MAX_BATCH_SIZE)));
    }

    /** Advances the time of all three state machines; writes snapshots only while {@code writesSnapshots} is true. */
    public void tick(boolean writesSnapshots) {
        ring.offer(new Follow(new ChangeFollowerEvent.Ticked()));
        ring.offer(new Write(new ChangeWriterEvent.Ticked()));
        ring.offer(new Snapshot(new SnapshotEvent.RoleChanged(writesSnapshots)));
        ring.offer(new Snapshot(new SnapshotEvent.Ticked()));
    }

    /**
     * Appends a change. The future fails with a {@link ChangeConflictException}, which has the current value, if the
     * expected version differs, and otherwise with a {@link RequestException}.
     */
    public CompletableFuture<Change> append(String changeId, ChangeEntry entry, OptionalLong expectedVersion) {
        long request = lastRequestNumber.incrementAndGet();
        CompletableFuture<Change> outcome = new CompletableFuture<>();
        pendingAppends.put(request, outcome);
        boolean queued =
                ring.offer(new Write(new ChangeWriterEvent.Submitted(request, changeId, entry, expectedVersion)));
        if (!queued) {
            pendingAppends.remove(request);
            outcome.completeExceptionally(
                    RequestException.of(ErrorKind.OVERLOADED, "the queue of pending changes is full"));
        }
        return outcome;
    }

    private void handle(Input input) {
        switch (input) {
            case Follow follow -> follower.apply(follow.event(), ticker.read()).forEach(this::handle);
            case Write write -> writer.apply(write.event(), ticker.read()).forEach(this::handle);
            case Snapshot snapshot -> apply(snapshot.event());
            case Serve serve -> listener.deliver(serve.peer(), follower.changesAfter(serve.after(), serve.limit()));
        }
    }

    private void handle(ChangeFollowerEffect effect) {
        switch (effect) {
            case ChangeFollowerEffect.Call call ->
                TableCalls.make(call.table(), table).thenAccept(answer -> queueFollowerAnswer(call.callId(), answer));
            case ChangeFollowerEffect.Fetch fetch -> listener.fetch(fetch.peer(), fetch.after());
            case ChangeFollowerEffect.Configured configured -> configure(configured.state());
            case ChangeFollowerEffect.BecameReady becameReady -> ready = true;
        }
    }

    private void queueFollowerAnswer(long call, TableAnswer answer) {
        boolean failed = answer instanceof TableAnswer.ReadFailed;
        if (failed && !tableUnreachable) {
            LOG.write(LogEvent.CHANGE_LOG_UNREACHABLE, "a read from the table service failed");
        }
        tableUnreachable = failed;
        ring.offerWithRetry(new Follow(new ChangeFollowerEvent.Answered(call, answer)));
    }

    private void configure(ChangeState newState) {
        state = newState;
        apply(new SnapshotEvent.Configured(newState));
        LOG.write(LogEvent.CHANGE_APPLIED, newState.number());
        listener.onConfigured(newState);
    }

    private void handle(ChangeWriterEffect effect) {
        switch (effect) {
            case ChangeWriterEffect.Call call ->
                TableCalls.make(call.table(), table)
                        .thenAccept(answer ->
                                ring.offerWithRetry(new Write(new ChangeWriterEvent.Answered(call.callId(), answer))));
            case ChangeWriterEffect.Accepted accepted -> accept(accepted);
            case ChangeWriterEffect.Rejected rejected -> reject(rejected);
        }
    }

    private void apply(SnapshotEvent event) {
        for (SnapshotEffect effect : snapshotWriter.apply(event, ticker.read())) {
            switch (effect) {
                case SnapshotEffect.Call call ->
                    TableCalls.make(call.table(), table)
                            .thenAccept(answer -> ring.offerWithRetry(
                                    new Snapshot(new SnapshotEvent.Answered(call.callId(), answer))));
            }
        }
    }

    private void accept(ChangeWriterEffect.Accepted accepted) {
        LOG.write(
                LogEvent.CHANGE_ACCEPTED,
                accepted.change().number(),
                accepted.change().entry().key());
        follower.apply(new ChangeFollowerEvent.Committed(accepted.change()), ticker.read())
                .forEach(this::handle);
        CompletableFuture<Change> outcome = pendingAppends.remove(accepted.request());
        if (outcome != null) {
            outcome.complete(accepted.change());
        }
    }

    private void reject(ChangeWriterEffect.Rejected rejected) {
        CompletableFuture<Change> outcome = pendingAppends.remove(rejected.request());
        if (outcome == null) {
            return;
        }
        if (rejected.kind() == ErrorKind.VERSION_CONFLICT) {
            outcome.completeExceptionally(new ChangeConflictException(rejected.message(), rejected.present()));
            return;
        }
        RequestException failure = RequestException.of(rejected.kind(), rejected.message());
        outcome.completeExceptionally(failure.withExecutionStatus(rejected.executionStatus()));
    }

    @Override
    public void close() {
        ring.close();
    }
}
