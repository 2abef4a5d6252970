package org.boragebarrow.decision.change;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.decision.table.TableDriver;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostId;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.testing.CommitFault;
import org.boragebarrow.testing.FakeTable;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Simulates change writers, snapshot writers and followers over one table, and records what was accepted. */
final class ChangeSimulation {
    static final int HOSTS = 3;
    static final int WRITERS = 2;
    static final ChangeCodec CODEC = new JsonChangeCodec();

    private static final long SEED = 7;
    private static final int STALE_COMMITS = 3;
    private static final int SNAPSHOT_INTERVAL = 4;
    private static final int RETAINED_WHEN_TRIMMING = 2;
    private static final int PART_CHARS = 200;
    private static final int MAX_ROUNDS = 500;

    final FakeTable table = FakeTable.stepped(SEED);
    final List<FollowerHost> hosts = new ArrayList<>();
    long nowNanos = 1;
    boolean down;
    private final TableDriver driver = new TableDriver(table);
    private final List<ChangeWriter> writers = List.of(new ChangeWriter(CODEC), new ChangeWriter(CODEC));
    private final boolean trimming;
    private final List<SnapshotWriter> snapshotWriters;
    private final Map<Long, ChangeWriterEvent.Submitted> submitted = new HashMap<>();
    private final Map<String, ChangeWriterEvent.Submitted> byChangeId = new HashMap<>();
    private final Map<String, Change> accepted = new HashMap<>();
    private final Set<String> conflicted = new HashSet<>();
    private final Set<String> resubmitted = new HashSet<>();
    private final List<Runnable> messages = new ArrayList<>();
    private final Map<Long, Change> log = new HashMap<>();

    /**
     * Creates a simulation.
     *
     * @param trimming whether snapshots trim the log early; trimming deletes change ids too, so no change is
     *     resubmitted
     */
    ChangeSimulation(boolean trimming) {
        this.trimming = trimming;
        int retained = trimming ? RETAINED_WHEN_TRIMMING : SnapshotWriter.RETAINED_CHANGES;
        snapshotWriters = List.of(newSnapshotWriter(retained), newSnapshotWriter(retained));
        table.setMaxStaleCommits(STALE_COMMITS);
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new FollowerHost(this, HostId.of("host-" + i)));
        }
        snapshotWriters.forEach(snapshotWriter -> drive(snapshotWriter, new SnapshotEvent.RoleChanged(true)));
    }

    private static SnapshotWriter newSnapshotWriter(int retained) {
        return new SnapshotWriter(CODEC, SNAPSHOT_INTERVAL, retained, PART_CHARS);
    }

    /** Submits a new change; if {@code conditional}, it requires the entry version that the given host has applied. */
    void submit(int writer, ChangeEntry entry, boolean conditional, int host) {
        String changeId = "change-" + byChangeId.size();
        long version = hosts.get(host).follower().state().versionOf(entry.key());
        OptionalLong expected = conditional ? OptionalLong.of(version) : OptionalLong.empty();
        submit(writer, changeId, entry, expected);
    }

    /** Resubmits an earlier change, as an operator does after a lost answer. */
    void resubmit(int writer, int index) {
        if (byChangeId.isEmpty() || trimming) {
            return;
        }
        ChangeWriterEvent.Submitted earlier = byChangeId.get("change-" + index % byChangeId.size());
        resubmitted.add(earlier.changeId());
        submit(writer, earlier.changeId(), earlier.entry(), earlier.expectedVersion());
    }

    private void submit(int writer, String changeId, ChangeEntry entry, OptionalLong expected) {
        long request = submitted.size();
        ChangeWriterEvent.Submitted event = new ChangeWriterEvent.Submitted(request, changeId, entry, expected);
        submitted.put(request, event);
        byChangeId.put(changeId, event);
        drive(writer, event);
    }

    private void drive(int writer, ChangeWriterEvent event) {
        for (ChangeWriterEffect effect : writers.get(writer).apply(event, nowNanos)) {
            switch (effect) {
                case ChangeWriterEffect.Call call ->
                    driver.call(
                            call.table(),
                            answer -> drive(writer, new ChangeWriterEvent.Answered(call.callId(), answer)));
                case ChangeWriterEffect.Accepted outcome -> accept(writer, outcome);
                case ChangeWriterEffect.Rejected rejected -> {
                    if (rejected.kind() == ErrorKind.VERSION_CONFLICT) {
                        conflicted.add(submitted.get(rejected.request()).changeId());
                    }
                }
            }
        }
    }

    private void accept(int writer, ChangeWriterEffect.Accepted outcome) {
        Change change = outcome.change();
        assertThat(change.changeId()).isEqualTo(submitted.get(outcome.request()).changeId());
        Change earlier = accepted.putIfAbsent(change.changeId(), change);
        assertWithMessage("accepted twice")
                .that(earlier == null || earlier.equals(change))
                .isTrue();
        hosts.get(writer).receive(new ChangeFollowerEvent.Committed(change));
    }

    private void drive(SnapshotWriter snapshotWriter, SnapshotEvent event) {
        for (SnapshotEffect effect : snapshotWriter.apply(event, nowNanos)) {
            SnapshotEffect.Call call = (SnapshotEffect.Call) effect;
            driver.call(
                    call.table(), answer -> drive(snapshotWriter, new SnapshotEvent.Answered(call.callId(), answer)));
        }
    }

    void configured(int host, ChangeState state) {
        if (host < snapshotWriters.size()) {
            drive(snapshotWriters.get(host), new SnapshotEvent.Configured(state));
        }
    }

    void call(FollowerHost host, long call, TableCall tableCall) {
        driver.call(tableCall, answer -> host.receive(new ChangeFollowerEvent.Answered(call, answer)));
    }

    /** Reports to one host what another has applied. */
    void gossip(int from, int to) {
        FollowerHost peer = hosts.get(from);
        ChangeFollower follower = peer.follower();
        hosts.get(to)
                .receive(new ChangeFollowerEvent.PeerReported(
                        peer.id(), follower.state().number(), follower.isReady()));
    }

    /** Computes a peer's answer immediately; the answer may be delivered late, twice or not at all. */
    void fetch(FollowerHost host, HostId peer, long after) {
        ChangeFollower from = hosts.stream()
                .filter(each -> each.id().equals(peer))
                .findFirst()
                .orElseThrow()
                .follower();
        ChangeBatch batch = from.changesAfter(after, 2);
        messages.add(() -> host.receive(new ChangeFollowerEvent.Received(peer, batch)));
    }

    void deliverMessage(int index, boolean keep) {
        if (!messages.isEmpty()) {
            int chosen = index % messages.size();
            messages.get(chosen).run();
            if (!keep) {
                messages.remove(chosen);
            }
        }
    }

    void dropMessage(int index) {
        if (!messages.isEmpty()) {
            messages.remove(index % messages.size());
        }
    }

    void deliver(int index) {
        driver.runStep(index);
        checkLog();
    }

    /** Checks that no change of the log is rewritten, and records the changes because they may be trimmed later. */
    private void checkLog() {
        for (Row row : table.rows().scan(ChangeRows.CHANGE_PREFIX, Integer.MAX_VALUE)) {
            Change change = CODEC.decode(row.value());
            Change earlier = log.putIfAbsent(change.number(), change);
            assertWithMessage("a change of the log was rewritten")
                    .that(earlier == null || earlier.equals(change))
                    .isTrue();
        }
    }

    long head() {
        return table.rows()
                .get(ChangeRows.HEAD)
                .map(row -> Long.parseLong(row.value()))
                .orElse(0L);
    }

    void failNext(CommitFault fault) {
        boolean lost = fault != CommitFault.NONE && fault != CommitFault.REFUSED;
        if (!(trimming && lost)) {
            table.failNextCommit(fault);
            hosts.forEach(FollowerHost::recordCommitFault);
        }
    }

    void setDown(boolean isDown) {
        down = isDown;
        table.setDown(isDown);
        if (isDown) {
            hosts.forEach(FollowerHost::recordOutage);
        }
    }

    void restart(int index) {
        FollowerHost old = hosts.get(index);
        old.crash();
        hosts.set(index, new FollowerHost(this, old.id()));
    }

    void advance(Duration time) {
        nowNanos += time.toNanos();
        for (int i = 0; i < WRITERS; i++) {
            drive(i, new ChangeWriterEvent.Ticked());
            drive(snapshotWriters.get(i), new SnapshotEvent.Ticked());
        }
        hosts.forEach(host -> host.receive(new ChangeFollowerEvent.Ticked()));
    }

    /** Ends all faults, waits until every host has caught up, and checks the log and the state of every host. */
    void checkEnd() {
        table.setMaxStaleCommits(0);
        setDown(false);
        hosts.forEach(host -> host.receive(new ChangeFollowerEvent.PollingChanged(true)));
        for (int round = 0; round < MAX_ROUNDS && !hasConverged(); round++) {
            while (table.queuedSteps() > 0) {
                deliver(0);
            }
            while (!messages.isEmpty()) {
                deliverMessage(0, false);
            }
            advance(Duration.ofMillis(100));
        }
        assertWithMessage("converged").that(hasConverged()).isTrue();
        ChangeState expected = replay();
        for (FollowerHost host : hosts) {
            assertThat(host.follower().state()).isEqualTo(expected);
        }
    }

    private boolean hasConverged() {
        return table.queuedSteps() == 0
                && messages.isEmpty()
                && hosts.stream()
                        .allMatch(host -> host.follower().isReady()
                                && host.follower().state().number() == head());
    }

    private ChangeState replay() {
        Set<String> ids = new HashSet<>();
        ChangeState state = ChangeState.empty();
        for (long number = 1; number <= head(); number++) {
            Change change = log.get(number);
            assertWithMessage("change %s", number).that(change).isNotNull();
            assertWithMessage("change id is in the log twice: %s", change)
                    .that(ids.add(change.changeId()))
                    .isTrue();
            OptionalLong expected = byChangeId.get(change.changeId()).expectedVersion();
            long version = state.versionOf(change.entry().key());
            assertWithMessage("stale edit %s", change)
                    .that(expected.orElse(version))
                    .isEqualTo(version);
            state = state.apply(change);
        }
        accepted.forEach((id, change) -> assertThat(log.get(change.number())).isEqualTo(change));
        for (String id : conflicted) {
            assertWithMessage("%s was rejected", id)
                    .that(!resubmitted.contains(id) && ids.contains(id))
                    .isFalse();
        }
        return state;
    }
}
