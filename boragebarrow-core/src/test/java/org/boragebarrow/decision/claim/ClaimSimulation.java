package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.decision.table.TableDriver;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.port.TableService;
import org.boragebarrow.testing.CommitFault;
import org.boragebarrow.testing.FakeTable;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

/** Simulates hosts and claim writers that share one table, and records which attempts were dispatched. */
final class ClaimSimulation {
    static final int HOSTS = 3;
    static final int KEYS = 2;

    private static final long SEED = 7;
    private static final int STALE_COMMITS = 2;
    private static final int PROBE_ROUNDS = 100;
    private static final int MAX_ROUNDS = 2_000;
    private static final OrganisationId ORGANISATION = OrganisationId.of("kalibrasi");

    final FakeTable table = FakeTable.stepped(SEED);
    private final TableDriver driver = new TableDriver(table);
    final List<ClaimHost> hosts = new ArrayList<>();
    final Map<ClaimKey, CallRecord> callRecords = new HashMap<>();
    long nowNanos = 1;
    boolean duplicateSwaps;
    private final List<ClaimWriter> writers = List.of(new ClaimWriter(), new ClaimWriter());
    private final Map<Long, SwapCallback> pendingSwaps = new HashMap<>();
    private long lastRequest;
    private long answerCount;

    ClaimSimulation() {
        table.setMaxStaleCommits(STALE_COMMITS);
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new ClaimHost(this, "host-" + i, 1));
        }
    }

    static ClaimKey key(int index) {
        return ClaimKey.of(ORGANISATION, "booking-" + index);
    }

    CallRecord recordOf(ClaimKey key) {
        return callRecords.computeIfAbsent(key, k -> new CallRecord());
    }

    void deliver(int index) {
        driver.runStep(index);
    }

    void advance(Duration time) {
        nowNanos += time.toNanos();
        hosts.forEach(host -> host.receive(new ClaimManagerEvent.Ticked()));
    }

    void failNext(CommitFault fault) {
        table.failNextCommit(fault);
    }

    void crash(int index) {
        ClaimHost old = hosts.get(index);
        old.crash();
        hosts.set(
                index,
                new ClaimHost(
                        this,
                        old.incarnation.host().value(),
                        old.incarnation.number().value() + 1));
        ImmutableSet<HostIncarnation> live =
                hosts.stream().map(host -> host.incarnation).collect(ImmutableSet.toImmutableSet());
        hosts.forEach(host -> host.receive(new ClaimManagerEvent.HostsListed(live)));
    }

    void read(String row, ClaimHost host, long call) {
        driver.call(new TableCall.Get(row), answer -> host.receive(new ClaimManagerEvent.Answered(call, answer)));
    }

    /**
     * Sends a swap through one writer or, if swaps are duplicated, through both.
     *
     * <p>The first result counts, except that a refusal counts only if the other copy is refused as well.
     */
    void swap(ClaimSwap swap, ClaimHost host, long call) {
        int first = (int) (call % writers.size());
        int[] copies = {duplicateSwaps ? 2 : 1};
        SwapCallback done = result -> {
            copies[0]--;
            if (!(result instanceof TableService.Unavailable) || copies[0] == 0) {
                host.receive(new ClaimManagerEvent.Answered(call, new TableAnswer.CommitFinished(result)));
            }
        };
        request(writers.get(first), swap, done);
        if (duplicateSwaps) {
            request(writers.get(1 - first), swap, done);
        }
    }

    private void request(ClaimWriter writer, ClaimSwap swap, SwapCallback done) {
        lastRequest++;
        pendingSwaps.put(lastRequest, done);
        drive(writer, new ClaimWriterEvent.Requested(lastRequest, swap));
    }

    private void drive(ClaimWriter writer, ClaimWriterEvent event) {
        for (ClaimWriterEffect effect : writer.apply(event, nowNanos)) {
            switch (effect) {
                case ClaimWriterEffect.Commit commit ->
                    driver.call(
                            commit.transaction(),
                            answer -> drive(
                                    writer,
                                    new ClaimWriterEvent.Answered(
                                            commit.callId(), ((TableAnswer.CommitFinished) answer).result())));
                case ClaimWriterEffect.Finished finished ->
                    pendingSwaps.remove(finished.request()).accept(finished.result());
            }
        }
    }

    ClaimAnswer newAnswer() {
        answerCount++;
        ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of("Content-Type", "text/plain");
        return new ClaimAnswer(200, headers, ClaimAnswer.Inline.of(("slot " + answerCount).getBytes(UTF_8)));
    }

    /** Ends all faults and runs until no host has an active attempt. */
    void quiesce() {
        table.setMaxStaleCommits(0);
        table.setDown(false);
        duplicateSwaps = false;
        hosts.forEach(ClaimHost::resume);
        for (int round = 0; round < MAX_ROUNDS; round++) {
            driver.runAllSteps();
            hosts.forEach(ClaimHost::endAll);
            if (table.queuedSteps() == 0 && hosts.stream().allMatch(host -> host.activeAttempts() == 0)) {
                return;
            }
            advance(Duration.ofMillis(100));
        }
        throw new AssertionError("attempts are still active after the maximum number of rounds");
    }

    /** Makes one more attempt without faults and returns its outcome. */
    ClaimManagerEffect probe(ClaimKey key, String requestHash) {
        ClaimHost host = hosts.get(0);
        AttemptId attempt = host.request(key, requestHash, Duration.ofMinutes(1));
        for (int round = 0; round < PROBE_ROUNDS && !host.outcomes.containsKey(attempt); round++) {
            driver.runAllSteps();
            advance(Duration.ofMillis(100));
        }
        ClaimManagerEffect outcome = host.outcomes.get(attempt);
        assertWithMessage("outcome of %s", attempt).that(outcome).isNotNull();
        return outcome;
    }

    /** Receives the result of a swap. */
    interface SwapCallback {
        void accept(TableService.CommitResult result);
    }

    /** Records the dispatches and answers of one key. */
    static final class CallRecord {
        final List<AttemptId> dispatched = new ArrayList<>();
        final List<ClaimAnswer> answers = new ArrayList<>();
        String requestHash = "";
        boolean crashed;
    }
}
