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
import org.boragebarrow.decision.change.ChangeFollowerEvent.Learnt;
import org.boragebarrow.decision.change.ChangeFollowerEvent.PeerLost;
import org.boragebarrow.decision.change.ChangeFollowerEvent.PollingChanged;
import org.boragebarrow.decision.change.ChangeFollowerEvent.Received;
import org.boragebarrow.decision.change.ChangeFollowerEvent.Ticked;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.HostId;
import org.boragebarrow.port.TableService.Row;

/**
 * Puts the changes of the log in force on one host, in order and never back.
 *
 * <p>It learns of a change from peers, from this host's own writer or from the head of the log, and fetches what it
 * lacks from a peer that has it, else from the table. Duplicates, gaps and stale reads are harmless: only the very next
 * change is ever applied, and what is missing is asked for again.
 */
public final class ChangeFollower implements Machine<ChangeFollowerEvent, ChangeFollowerEffect> {
    /** How often the head is read by a host that polls or is not ready. */
    public static final Duration HEAD_POLL = Duration.ofSeconds(1);

    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(200).toNanos();
    private static final long FETCH_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long PEER_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    private final AppliedChanges applied = new AppliedChanges();
    private final Readiness readiness = new Readiness();
    private final Map<HostId, Long> peers = new HashMap<>();
    private final TableCatchUp catchUp;
    private long known;
    private boolean polling;
    private long startNanos;
    private boolean started;
    private long nextPollNanos;
    private long lastCall;
    private Optional<PendingCall> headCall = Optional.empty();
    private Optional<PendingCall> fetchCall = Optional.empty();
    private Optional<HostId> fetchPeer = Optional.empty();
    private long fetchTimeoutNanos;
    private long retryNanos;

    public ChangeFollower(ChangeCodec codec) {
        this.catchUp = new TableCatchUp(codec, applied);
    }

    /** Returns the state in force. */
    public ChangeState state() {
        return applied.state();
    }

    /** Returns whether every change that was accepted before this life of the host is in force. */
    public boolean isReady() {
        return readiness.isReady();
    }

    /** Returns what a peer lacks that has applied the given number. */
    public ChangeBatch changesAfter(long number, int max) {
        return applied.after(number, max);
    }

    @Override
    public ImmutableList<ChangeFollowerEffect> apply(ChangeFollowerEvent event, long nowNanos) {
        start(nowNanos);
        long before = applied.number();
        ImmutableList.Builder<ChangeFollowerEffect> effects = ImmutableList.builder();
        switch (event) {
            case Learnt learnt -> learn(learnt);
            case PeerLost lost -> dropPeer(lost.peer());
            case Committed committed -> commit(committed.change());
            case Received received -> receive(received);
            case FetchFailed failed -> dropPeer(failed.peer());
            case Answered answered -> answer(answered, nowNanos, effects);
            case PollingChanged changed -> polling = changed.polling();
            case Ticked ticked -> expireFetch(nowNanos);
        }
        known = Math.max(known, applied.number());
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

    private void learn(Learnt learnt) {
        known = Math.max(known, learnt.number());
        peers.put(learnt.peer(), learnt.number());
        if (learnt.ready()) {
            readiness.peerTold();
        }
    }

    private void commit(Change change) {
        known = Math.max(known, change.number());
        applied.apply(ImmutableList.of(change));
    }

    private void receive(Received received) {
        long before = applied.number();
        received.batch().state().ifPresent(applied::adopt);
        applied.apply(received.batch().changes());
        if (applied.number() == before) {
            // It has nothing that helps; its next message tells anew what it has.
            peers.remove(received.peer());
        }
        endFetch(received.peer());
    }

    private void dropPeer(HostId peer) {
        peers.remove(peer);
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

    private void answer(Answered answered, long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (headCall.isPresent() && headCall.get().call() == answered.call()) {
            headCall = Optional.empty();
            answerHead(answered.answer(), effects);
        } else if (fetchCall.isPresent() && fetchCall.get().call() == answered.call()) {
            TableCall table = fetchCall.get().table();
            fetchCall = Optional.empty();
            answerFetch(table, answered.answer(), nowNanos, effects);
        }
    }

    private void answerHead(TableAnswer answer, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (answer instanceof TableAnswer.Finished finished) {
            readiness.proofAnswered(finished.result());
        } else if (answer instanceof TableAnswer.Found found) {
            known = Math.max(known, headOf(found.row()));
            headCall = readiness.headRead(found.row()).map(proof -> call(proof, effects));
        } else {
            readiness.headReadFailed();
        }
    }

    private static long headOf(Optional<Row> row) {
        return row.map(head -> Long.parseLong(head.value())).orElse(0L);
    }

    private void answerFetch(
            TableCall table, TableAnswer answer, long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        long before = applied.number();
        fetchCall = catchUp.next(table, answer).map(next -> call(next, effects));
        if (fetchCall.isEmpty() && applied.number() == before) {
            retryNanos = nowNanos + RETRY_DELAY_NANOS;
        }
    }

    private void poll(long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        boolean wanted = polling || !readiness.isReady();
        if (!wanted || headCall.isPresent() || nowNanos - nextPollNanos < 0) {
            return;
        }
        nextPollNanos = nowNanos + HEAD_POLL.toNanos();
        headCall = Optional.of(call(new TableCall.Get(ChangeRows.HEAD), effects));
    }

    private void fetch(long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (applied.number() >= known || fetchPeer.isPresent() || fetchCall.isPresent()) {
            return;
        }
        Optional<HostId> peer = bestPeer();
        if (peer.isPresent()) {
            fetchPeer = peer;
            fetchTimeoutNanos = nowNanos + FETCH_TIMEOUT_NANOS;
            effects.add(new Fetch(peer.get(), applied.number()));
        } else if (nowNanos - retryNanos >= 0) {
            fetchCall = Optional.of(call(catchUp.first(known), effects));
        }
    }

    private Optional<HostId> bestPeer() {
        return peers.entrySet().stream()
                .filter(peer -> peer.getValue() > applied.number())
                .max(Map.Entry.<HostId, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private PendingCall call(TableCall table, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        lastCall++;
        effects.add(new Call(lastCall, table));
        return new PendingCall(lastCall, table);
    }

    private void report(long before, long nowNanos, ImmutableList.Builder<ChangeFollowerEffect> effects) {
        if (applied.number() > before) {
            effects.add(new Configured(applied.state()));
        }
        if (readiness.becomesReady(applied.number(), known, nowNanos - startNanos >= PEER_WAIT_NANOS)) {
            effects.add(new BecameReady());
        }
    }

    private record PendingCall(long call, TableCall table) {}
}
