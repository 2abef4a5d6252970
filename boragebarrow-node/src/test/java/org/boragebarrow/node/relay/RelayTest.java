package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.RelayWorld.FakeResponse;

import static com.google.common.truth.Truth.assertThat;

class RelayTest {
    private final RelayWorld world = new RelayWorld(100);
    private final FleetTarget first = world.target("first");
    private final FleetTarget second = world.target("second");

    @AfterTry
    void close() {
        world.close();
    }

    private FakeResponse sent(RequestKind kind, int maxTargets) {
        world.route(kind, maxTargets);
        FakeResponse response = world.send();
        world.assignments.assign(first);
        return response;
    }

    @Example
    void anAnswerIsPassedOnWithItsStatusAndHeaders() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().head(201).body("done").end();

        assertThat(response.status).isEqualTo(201);
        assertThat(response.headers.get("by")).containsExactly("first");
        assertThat(response.body.toString()).isEqualTo("done");
        assertThat(world.assignments.outcomes).containsExactly(Outcome.SUCCEEDED);
        assertThat(world.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aCallThatRunsOnceIsNeverSentAgainAfterItMayHaveRun() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 3);
        world.calls.last().reset();

        assertThat(world.calls.made).hasSize(1);
        assertThat(response.status).isEqualTo(502);
        assertThat(response.body.toString()).contains("OUTCOME_UNKNOWN");
    }

    @Example
    void aCallThatRunsOnceGoesElsewhereIfItsTargetWasNeverReached() {
        sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().unreachable();
        world.assignments.assign(second);
        world.calls.last().head(200).body("done").end();

        assertThat(world.calls.made).hasSize(2);
        assertThat(world.assignments.submitted.get(1).excluded()).containsExactly(TargetId.of("first"));
    }

    @Example
    void aCallThatItsOnlyTargetRefusedIsRefusedAsNotRun() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().refuse();

        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("retry-after")).hasSize(1);
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
    }

    @Example
    void aRefusalAfterAnAttemptThatMayHaveRunIsNotCalledNotRun() {
        FakeResponse response = sent(RequestKind.REPEATABLE, 2);
        world.calls.last().reset();
        world.assignments.refuse(RefusalReason.NO_TARGET);

        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aRepeatableRequestIsRepeatedElsewhere() {
        FakeResponse response = sent(RequestKind.REPEATABLE, 2);
        world.calls.last().reset();
        world.assignments.assign(second);
        world.calls.last().head(200).body("done").end();

        assertThat(response.status).isEqualTo(200);
        assertThat(response.headers.get("by")).containsExactly("second");
    }

    @Example
    void noRequestGoesToMoreTargetsThanItsRouteAllows() {
        FakeResponse response = sent(RequestKind.REPEATABLE, 2);
        world.calls.last().reset();
        world.assignments.assign(second);
        world.calls.last().reset();

        assertThat(world.calls.made).hasSize(2);
        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void repeatsStopWhenTheSharedBudgetIsSpent() {
        try (RelayWorld withoutQuota = new RelayWorld(0)) {
            FleetTarget only = withoutQuota.target("only");
            withoutQuota.route(RequestKind.REPEATABLE, 2);
            FakeResponse response = withoutQuota.send();
            withoutQuota.assignments.assign(only);
            withoutQuota.calls.last().reset();

            assertThat(withoutQuota.calls.made).hasSize(1);
            assertThat(response.status).isEqualTo(502);
        }
    }

    @Example
    void aTargetsOwnErrorReachesTheCallerWhenNoAttemptIsLeft() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().head(500).body("failed").end();

        assertThat(response.status).isEqualTo(500);
        assertThat(response.headers.get("by")).containsExactly("first");
    }

    @Example
    void aStatusThatVouchesForNotRunningIsReplacedUnlessTheTargetSaysSo() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().head(503);

        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void anAnswerThatIsNotTheTargetsOwnIsNeverPassedOn() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().spoiltHead();

        assertThat(response.status).isEqualTo(502);
        assertThat(world.calls.last().closed).isTrue();
    }

    @Example
    void eventsArePassedOnOnlyOnceTheyAreWhole() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200).body("id: 1\ndata: a\n\nid: 2\nda");

        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\n");
        world.calls.last().body("ta: b\n\n").end();
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
        assertThat(world.assignments.firstEvents).hasSize(1);
    }

    @Example
    void aBrokenStreamGoesOnElsewhereWithoutGapOrRepetition() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200).body("id: 1\ndata: a\n\nid: 2\nda");
        world.calls.last().reset();
        world.assignments.assign(second);

        assertThat(world.calls.last().call.resumeAfter()).isEqualTo(OptionalLong.of(1));
        world.calls
                .last()
                .head(200)
                .body("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
                .end();
        assertThat(response.headers.get("by")).containsExactly("first");
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
    }

    @Example
    void aStreamWithAMissingEventIsBrokenOff() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 1);
        world.calls.last().head(200).body("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");

        assertThat(response.aborted).isTrue();
        assertThat(response.body.toString()).doesNotContain("data: c");
    }

    @Example
    void aStreamThatEndsWithinAnEventDoesNotLookComplete() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 1);
        world.calls.last().head(200).body("id: 1\ndata: a\n\nid: 2\nda").end();

        assertThat(response.aborted).isTrue();
        assertThat(response.ended).isFalse();
    }

    @Example
    void aStreamThatRunsOnceIsNotResumed() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE_STREAM, 2);
        world.calls.last().head(200).body("id: 1\ndata: a\n\n");
        world.calls.last().reset();

        assertThat(world.calls.made).hasSize(1);
        assertThat(response.aborted).isTrue();
    }

    @Example
    void aCallerThatResumesGetsNoEventTwice() {
        world.route(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = world.send("/a/b", RelayWorld.KEY, OptionalLong.of(4));
        world.assignments.assign(first);

        assertThat(world.calls.last().call.resumeAfter()).isEqualTo(OptionalLong.of(4));
        world.calls
                .last()
                .head(200)
                .body("id: 4\ndata: d\n\nid: 5\ndata: e\n\n")
                .end();
        assertThat(response.body.toString()).isEqualTo("id: 5\ndata: e\n\n");
    }

    @Example
    void aCallerThatLeavesFreesItsTargetAtOnce() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 2);
        response.leave();

        assertThat(world.calls.last().closed).isTrue();
        assertThat(world.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
        assertThat(world.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aCallerThatLeavesWhileWaitingTakesItsQuestionBack() {
        world.route(RequestKind.REPEATABLE, 2);
        FakeResponse response = world.send();
        response.leave();
        world.assignments.assign(first);

        assertThat(world.calls.made).isEmpty();
        assertThat(world.assignments.outcomes).contains(Outcome.WITHDRAWN);
    }

    @Example
    void theRequestOfACallerWhoseConnectionIsClosedAlreadyIsNotSent() {
        world.route(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = world.send();
        response.closed = true;
        world.assignments.assign(first);

        assertThat(world.calls.made).isEmpty();
        assertThat(world.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
        assertThat(world.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aCallerThatLeavesWhileMemoryIsSetAsideLetsNoMoreBeSetAside() {
        world.route(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = world.send();
        world.calls.reservation = new CompletableFuture<>();
        world.assignments.assign(first, 1_000, second, world.target("third"));
        assertThat(world.calls.reserved).hasSize(1);
        response.leave();
        world.calls.reservation.complete(null);
        world.pass(10_000);

        assertThat(world.calls.reserved).hasSize(1);
        assertThat(world.calls.made).isEmpty();
        assertThat(world.calls.released).containsAtLeastElementsIn(world.calls.reserved);
    }

    @Example
    void theLimitIsAnsweredAtOnceWhileATargetWorks() {
        FakeResponse response = sent(RequestKind.AT_MOST_ONCE, 1);
        world.pass(3_999);
        assertThat(response.ended).isFalse();
        world.pass(1);

        assertThat(response.status).isEqualTo(504);
        assertThat(world.calls.last().closed).isTrue();
    }

    @Example
    void theLimitOfWaitingWorkIsANotRunRefusal() {
        world.route(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = world.send();
        world.pass(4_000);

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
    }

    @Example
    void aSilentTargetIsKeptUntilThereIsAnother() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200).body("id: 1\ndata: a\n\n");
        world.pass(1_301);
        assertThat(world.assignments.submitted).hasSize(2);
        world.assignments.refuse(RefusalReason.TOO_LATE);

        assertThat(response.aborted).isFalse();
        assertThat(world.calls.last().closed).isFalse();
        world.calls.last().body("id: 2\ndata: b\n\n").end();
        assertThat(response.ended).isTrue();
    }

    @Example
    void aSilentTargetIsLeftForAnother() {
        FakeResponse response = sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200).body("id: 1\ndata: a\n\n");
        world.pass(1_301);
        world.assignments.assign(second);

        assertThat(world.calls.made.get(0).closed).isTrue();
        assertThat(world.assignments.outcomes).containsExactly(Outcome.SILENT);
        world.calls.last().head(200).body("id: 2\ndata: b\n\n").end();
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Example
    void aStreamThatStandsStillHasWaitedSinceItsLastEventWhenAnotherTargetIsSought() {
        sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200);
        for (int id = 1; id <= 3; id++) {
            world.pass(600);
            world.calls.last().body("id: " + id + "\ndata: x\n\n");
        }
        world.pass(1_000);
        world.pass(400);

        assertThat(world.assignments.submitted).hasSize(2);
        assertThat(world.assignments.last().age()).isEqualTo(Duration.ofMillis(1_400));
    }

    @Example
    void aStreamThatBreaksHasWaitedSinceItsLastEventWhenItGoesOnElsewhere() {
        sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200);
        world.pass(1_000);
        world.calls.last().body("id: 1\ndata: x\n\n");
        world.pass(300);
        world.calls.last().reset();

        assertThat(world.assignments.last().age()).isEqualTo(Duration.ofMillis(300));
    }

    @Example
    void aTargetThatSpokeAgainMeanwhileIsKept() {
        sent(RequestKind.RESUMABLE_STREAM, 2);
        world.calls.last().head(200).body("id: 1\ndata: a\n\n");
        world.pass(1_301);
        world.calls.last().body("id: 2\ndata: b\n\n");
        world.assignments.assign(second);

        assertThat(world.calls.made).hasSize(1);
        assertThat(world.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
    }

    @Example
    void anAssignmentToATargetThatDrainsInThisHostsViewIsNotUsed() {
        world.route(RequestKind.AT_MOST_ONCE, 1);
        world.send();
        world.fleet.remove(TargetId.of("first"), 0);
        world.assignments.assign(first);

        assertThat(world.calls.made).isEmpty();
        assertThat(world.assignments.last().excluded()).containsExactly(TargetId.of("first"));
    }

    @Example
    void withoutAnyConfigurationACallerIsSentBackForAMoment() {
        FakeResponse response = world.send();

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("NOT_READY");
    }

    @Example
    void anUnknownPathIsNotFoundAndAnUnknownKeyIsRejected() {
        world.route(RequestKind.AT_MOST_ONCE, 1);

        assertThat(world.send("/b/", RelayWorld.KEY, OptionalLong.empty()).status)
                .isEqualTo(404);
        assertThat(world.send("/a/", "other", OptionalLong.empty()).status).isEqualTo(401);
    }

    @Example
    void aHostThatStopsRefusesNewRequestsAndEndsTheOthers() {
        FakeResponse running = sent(RequestKind.AT_MOST_ONCE, 1);
        world.relay.refuseNew();
        FakeResponse refused = world.send();

        assertThat(refused.status).isEqualTo(503);
        world.calls.last().head(200).body("done").end();
        assertThat(running.status).isEqualTo(200);
    }

    @Example
    void theLogLeadsFromTheRequestsIdToTheCause() {
        sent(RequestKind.AT_MOST_ONCE, 1);
        world.calls.last().reset();
        String log = world.log();

        assertThat(log).contains("what=assigned id=request");
        assertThat(log).contains("target=first");
        assertThat(log).contains("what=attempt_failed id=request");
        assertThat(log).contains("what=refused id=request route=route kind=OUTCOME_UNKNOWN");
    }

    @Example
    void aPromptThatWasRefusedIsNotTriedWithTheSameHelpersAgain() {
        world.route(RequestKind.RESUMABLE_STREAM, 2);
        world.send();
        world.assignments.assign(first, second);
        world.calls.last().refuse();

        assertThat(world.assignments.last().excluded()).containsExactly(first.id(), second.id());
    }
}
