package org.boragebarrow.decision.change;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.change.ChangeFollowerEffect.BecameReady;
import org.boragebarrow.decision.change.ChangeFollowerEffect.Call;
import org.boragebarrow.decision.change.ChangeFollowerEffect.Configured;
import org.boragebarrow.decision.change.ChangeFollowerEffect.Fetch;
import org.boragebarrow.decision.change.ChangeFollowerEvent.Answered;
import org.boragebarrow.decision.change.ChangeFollowerEvent.Committed;
import org.boragebarrow.decision.change.ChangeFollowerEvent.FetchFailed;
import org.boragebarrow.decision.change.ChangeFollowerEvent.PeerLost;
import org.boragebarrow.decision.change.ChangeFollowerEvent.PeerReported;
import org.boragebarrow.decision.change.ChangeFollowerEvent.PollingChanged;
import org.boragebarrow.decision.change.ChangeFollowerEvent.Received;
import org.boragebarrow.decision.change.ChangeFollowerEvent.Ticked;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.HostId;
import org.boragebarrow.port.TableService.Row;

/**
 * Applies the changes of the log on one host, in order and without ever reverting one.
 *
 * <p>It discovers changes through reports of peers, commits of this host's own writer and reads of the log's head. It
 * fetches missing changes from a peer that has applied them, or else from the table. Duplicates, gaps and stale reads
 * are harmless: only the change that directly follows the last applied one is applied, and missing changes are
 * requested again.
 */
public final class ChangeFollower implements Machine<ChangeFollowerEvent, ChangeFollowerEffect> {
    /** The interval between reads of the head by a host that polls or is not ready. */
    public static final Duration HEAD_POLL_INTERVAL = Duration.ofSeconds(1);

    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(200).toNanos();
    private static final long FETCH_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long PEER_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    private final AppliedChanges applied = new AppliedChanges();
    private final Readiness readiness = new Readiness();
    private final Map<HostId, Long> appliedByPeer = new HashMap<>();
    private final TableCatchUp catchUp;
    private long highestKnown;
    private boolean polling;
    private long startNanos;
    private boolean started;
    private long nextPollNanos;
    private long lastCallId;
    private Optional<PendingCall> headCall = Optional.empty();
    private Optional<PendingCall> fetchCall = Optional.empty();
    private Optional<HostId> fetchPeer = Optional.empty();
    private long fetchTimeoutNanos;
    private long retryNanos;

    public ChangeFollower(ChangeCodec codec) {
        this.catchUp = new TableCatchUp(codec, applied);
    }

    /** Returns the state that is in effect. */
    public ChangeState state() {
        return applied.state();
    }

    /** Returns whether every change that was accepted before this incarnation of the host started is in effect. */
    public boolean isReady() {
        return readiness.isReady();
    }

    /**
     * Returns the changes that follow the given number, or the full state if the next change is no longer retained.
     *
     * @param max the maximum number of changes to return
     */
    public ChangeBatch changesAfter(long number, int max) {
        return applied.after(number, max);
    }

    @Override
    public ImmutableList<ChangeFollowerEffect> apply(ChangeFollowerEvent event, long nowNanos) {
        start(nowNanos);
        long before = applied.number();
        ImmutableList.Builder<ChangeFollowerEffect> effects = ImmutableList.builder();
        switch (event) {
            case PeerReported reported -> recordPeer(reported);
            case PeerLost lost -> dropPeer(lost.peer());
            case Committed committed -> applyCommitted(committed.change());
            case Received received -> receive(received);
            case FetchFailed failed -> dropPeer(failed.peer());
            case Answered answered -> handleAnswer(answered, nowNanos, effects);
            case PollingChanged changed -> polling = changed.polling();
            case Ticked ticked -> expireFetch(nowNanos);
        }
        highestKnown = Math.max(highestKnown, applied.number());
        poll(nowNanos, effects);
        fetch(nowNanos, effects);
        report(before, nowNanos, effects);
        return effects.build();
    }

    private void start(long nowNanos) {
        if (!started) {
            started = true;
            startNanos = nowNanos;
            nextPollNanos = nowNanos;
            retryNanos = nowNanos;
        }
    }

    private void recordPeer(PeerReported reported) {
        highestKnown = Math.max(highestKnown, reported.number());
        appliedByPeer.put(reported.peer(), reported.number());
        if (reported.ready()) {
            readiness.peerReported();
        }
    }

    private void applyCommitted(Change change) {
        highestKnown = Math.max(highestKnown, change.number());
        applied.apply(ImmutableList.of(change));
    }

    private void receive(Received received) {
        long before = applied.number();
        received.batch().state().ifPresent(applied::adopt);
        applied.apply(received.batch().changes());
        if (applied.number() == before) {
            // The peer has no usable change; its next message will report again what it has applied.
            appliedByPeer.remove(received.peer());
        }
        endFetch(received.peer());
    }

    private void dropPeer(HostId peer) {
        appliedByPeer.remove(peer);
        endFetch(peer);
    }

    private void endFetch(HostId peer) {
        if (fetchPeer.isPresent() && fetchPeer.get().equals(peer)) {
            fetchPeer = Optional.empty();
        }
    }

    private void expireFetch(long nowNanos) {
        if (fetchPeer.isPresent() && nowNanos - fetchTimeoutNanos >= 0) {
            dropPeer(fetchPeer.get());
        }
    }

    private void handleAnswer(Answered answered, long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (headCall.isPresent() && headCall.get().callId() == answered.callId()) {
            headCall = Optional.empty();
            handleHeadAnswer(answered.answer(), effects);
        } else if (fetchCall.isPresent() && fetchCall.get().callId() == answered.callId()) {
            TableCall table = fetchCall.get().table();
            fetchCall = Optional.empty();
            handleFetchAnswer(table, answered.answer(), nowNanos, effects);
        }
    }

    private void handleHeadAnswer(TableAnswer answer, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (answer instanceof TableAnswer.CommitFinished finished) {
            readiness.verificationCompleted(finished.result());
        } else if (answer instanceof TableAnswer.RowRead found) {
            highestKnown = Math.max(highestKnown, headOf(found.row()));
            headCall = readiness.headRead(found.row()).map(verification -> call(verification, effects));
        } else {
            readiness.headReadFailed();
        }
    }

    private static long headOf(Optional<Row> row) {
        return row.map(head -> Long.parseLong(head.value())).orElse(0L);
    }

    private void handleFetchAnswer(
            TableCall table, TableAnswer answer, long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        long before = applied.number();
        fetchCall = catchUp.nextCall(table, answer).map(next -> call(next, effects));
        if (fetchCall.isEmpty() && applied.number() == before) {
            retryNanos = nowNanos + RETRY_DELAY_NANOS;
        }
    }

    private void poll(long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        boolean due = polling || !readiness.isReady();
        if (!due || headCall.isPresent() || nowNanos - nextPollNanos < 0) {
            return;
        }
        nextPollNanos = nowNanos + HEAD_POLL_INTERVAL.toNanos();
        headCall = Optional.of(call(new TableCall.Get(ChangeRows.HEAD), effects));
    }

    private void fetch(long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (applied.number() >= highestKnown || fetchPeer.isPresent() || fetchCall.isPresent()) {
            return;
        }
        Optional<HostId> peer = bestPeer();
        if (peer.isPresent()) {
            fetchPeer = peer;
            fetchTimeoutNanos = nowNanos + FETCH_TIMEOUT_NANOS;
            effects.add(new Fetch(peer.get(), applied.number()));
        } else if (nowNanos - retryNanos >= 0) {
            fetchCall = Optional.of(call(catchUp.firstCall(highestKnown), effects));
        }
    }

    private Optional<HostId> bestPeer() {
        return appliedByPeer.entrySet().stream()
                .filter(peer -> peer.getValue() > applied.number())
                .max(Map.Entry.<HostId, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private PendingCall call(TableCall table, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        lastCallId++;
        effects.add(new Call(lastCallId, table));
        return new PendingCall(lastCallId, table);
    }

    private void report(long before, long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (applied.number() > before) {
            effects.add(new Configured(applied.state()));
        }
        if (readiness.updateReady(applied.number(), highestKnown, nowNanos - startNanos >= PEER_WAIT_NANOS)) {
            effects.add(new BecameReady());
        }
    }

    private record PendingCall(long callId, TableCall table) {}
}
