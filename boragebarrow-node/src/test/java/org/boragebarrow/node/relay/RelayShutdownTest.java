package org.boragebarrow.node.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.decision.shutdown.ShutdownDeadline;
import org.boragebarrow.node.relay.RelayFixture.FakeCall;
import org.boragebarrow.node.relay.RelayFixture.FakeResponse;

import static com.google.common.truth.Truth.assertThat;

/** Tests what becomes of a request in each of its states when its host is stopped. */
class RelayShutdownTest {
    private static final long LEFT_MILLIS = 2_000;

    private final RelayFixture fixture = new RelayFixture(100);
    private final FleetTarget first = fixture.addTarget("first");
    private final FleetTarget second = fixture.addTarget("second");

    @AfterTry
    void close() {
        fixture.close();
    }

    private FakeResponse sendAndAssign(RequestKind kind) {
        fixture.setRoute(kind, 2);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first);
        return response;
    }

    private void beginShutdown() {
        fixture.relay.beginShutdown(ShutdownDeadline.at(fixture.now() + TimeUnit.MILLISECONDS.toNanos(LEFT_MILLIS)));
    }

    private void shutDown() {
        beginShutdown();
        fixture.advance(LEFT_MILLIS - 1);
        fixture.relay.endAll();
    }

    private static void assertRefusedAsNotRun(FakeResponse response) {
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("retry-after")).hasSize(1);
        assertThat(response.body.toString()).contains("SHUTTING_DOWN");
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
    }

    @Example
    void aRequestWithoutATargetIsRefusedAsNotRun() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        shutDown();

        assertRefusedAsNotRun(response);
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
        assertThat(fixture.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aRequestWithoutATargetIsStillSentWhileItCanEndInTime() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        beginShutdown();
        fixture.advance(LEFT_MILLIS / 2);
        fixture.assignments.assign(first);
        fixture.calls.last().head(200).body("done").end();

        assertThat(response.status).isEqualTo(200);
    }

    @Example
    void anAssignmentThatPredictsAnAnswerAfterTheExitIsReturnedUnused() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        beginShutdown();
        fixture.advance(LEFT_MILLIS - RelayFixture.PREDICTED_MILLIS + 1);
        fixture.assignments.assign(first);

        assertRefusedAsNotRun(response);
        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
    }

    @Example
    void aNewRequestOfAHostThatIsAboutToExitIsRefusedAtOnce() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        beginShutdown();
        fixture.advance(LEFT_MILLIS);

        assertRefusedAsNotRun(fixture.send());
        assertThat(fixture.assignments.submitted).isEmpty();
    }

    @Example
    void aRequestWhoseMemoryIsBeingReservedIsRefusedAsNotRun() {
        fixture.calls.reservationResult = new CompletableFuture<>();
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 1);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first, 100, second);
        shutDown();

        assertRefusedAsNotRun(response);
    }

    @Example
    void aRequestWhoseConnectionIsNotEstablishedIsRefusedAsNotRun() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE);
        fixture.calls.last().sent = false;
        shutDown();

        assertRefusedAsNotRun(response);
        assertThat(fixture.calls.last().closed).isTrue();
    }

    @Example
    void aCallThatMayHaveRunIsNotReportedAsNotRun() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE);
        shutDown();

        assertThat(response.status).isEqualTo(502);
        assertThat(response.body.toString()).contains("OUTCOME_UNKNOWN");
    }

    @Example
    void aRequestBetweenTwoAttemptsIsNotReportedAsNotRun() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE);
        fixture.calls.last().reset();
        shutDown();

        assertThat(response.status).isEqualTo(502);
        assertThat(response.body.toString()).contains("TARGET_FAILED");
    }

    @Example
    void aStalledStreamIsNotMovedToATargetThatCouldNotFinishIt() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM);
        beginShutdown();
        fixture.advance(LEFT_MILLIS - 10);
        assertThat(fixture.assignments.submitted).hasSize(2);
        fixture.assignments.assign(second);

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(response.isOpen()).isTrue();
    }

    @Example
    void aStreamThatHasStartedIsAbortedSoThatItDoesNotLookComplete() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM);
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n");
        shutDown();

        assertThat(response.aborted).isTrue();
    }

    /** Guards against a state in which a request of a stopping host gets no response. */
    @Property(tries = 300)
    void everyRequestEndsBeforeTheProcessExits(
            @ForAll RequestKind kind, @ForAll TargetAction action, @ForAll @IntRange(max = 1_999) int millis) {
        try (RelayFixture fresh = new RelayFixture(100)) {
            FleetTarget target = fresh.addTarget("first");
            fresh.setRoute(kind, 2);
            FakeResponse response = fresh.send();
            fresh.relay.beginShutdown(ShutdownDeadline.at(TimeUnit.MILLISECONDS.toNanos(LEFT_MILLIS)));
            fresh.advance(millis);
            fresh.assignments.assign(target);
            if (!fresh.calls.started.isEmpty()) {
                action.apply(fresh.calls.last());
            }
            fresh.advance(LEFT_MILLIS - millis);
            fresh.relay.endAll();

            assertThat(response.isOpen()).isFalse();
            assertThat(fresh.relay.inProgress()).isEqualTo(0);
            boolean mayHaveRun = !fresh.calls.started.isEmpty() && action != TargetAction.REFUSE;
            assertThat(mayHaveRun && response.status == 503).isFalse();
        }
    }

    /** What the target does with the request. */
    private enum TargetAction {
        STAY_SILENT(call -> {}),
        REFUSE(FakeCall::refuse),
        RESET(FakeCall::reset),
        SEND_EVENT(call -> call.head(200).body("id: 1\ndata: x\n\n"));

        private final Consumer<FakeCall> effect;

        TargetAction(Consumer<FakeCall> effect) {
            this.effect = effect;
        }

        void apply(FakeCall call) {
            effect.accept(call);
        }
    }
}
