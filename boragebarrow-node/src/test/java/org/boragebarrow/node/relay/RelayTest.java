package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.quarantine.PartKey;
import org.boragebarrow.decision.quarantine.QuarantineEvent;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.RelayFixture.FakeResponse;

import static com.google.common.truth.Truth.assertThat;

class RelayTest {
    private final RelayFixture fixture = new RelayFixture(100);
    private final FleetTarget first = fixture.addTarget("first");
    private final FleetTarget second = fixture.addTarget("second");

    @AfterTry
    void close() {
        fixture.close();
    }

    private FakeResponse sendAndAssign(RequestKind kind, int maxTargets) {
        fixture.setRoute(kind, maxTargets);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first);
        return response;
    }

    @Example
    void aResponseIsForwardedWithItsStatusAndHeaders() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().head(201).body("done").end();

        assertThat(response.status).isEqualTo(201);
        assertThat(response.headers.get("by")).containsExactly("first");
        assertThat(response.body.toString()).isEqualTo("done");
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.SUCCEEDED);
        assertThat(fixture.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aCallThatRunsOnceIsNeverSentAgainAfterItMayHaveRun() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 3);
        fixture.calls.last().reset();

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(response.status).isEqualTo(502);
        assertThat(response.body.toString()).contains("OUTCOME_UNKNOWN");
    }

    @Example
    void aCallThatRunsOnceIsSentToAnotherTargetIfTheFirstWasUnreachable() {
        sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().unreachable();
        fixture.assignments.assign(second);
        fixture.calls.last().head(200).body("done").end();

        assertThat(fixture.calls.started).hasSize(2);
        assertThat(fixture.assignments.submitted.get(1).excluded()).containsExactly(TargetId.of("first"));
    }

    @Example
    void aCallThatItsOnlyTargetRefusedIsRefusedAsNotRun() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().refuse();

        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("retry-after")).hasSize(1);
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
    }

    @Example
    void aRefusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.calls.last().reset();
        fixture.assignments.refuse(RefusalReason.NO_TARGET);

        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aRepeatableRequestIsRetriedOnAnotherTarget() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.calls.last().reset();
        fixture.assignments.assign(second);
        fixture.calls.last().head(200).body("done").end();

        assertThat(response.status).isEqualTo(200);
        assertThat(response.headers.get("by")).containsExactly("second");
    }

    @Example
    void noRequestGoesToMoreTargetsThanItsRouteAllows() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.calls.last().reset();
        fixture.assignments.assign(second);
        fixture.calls.last().reset();

        assertThat(fixture.calls.started).hasSize(2);
        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void retriesStopWhenTheSharedQuotaIsUsedUp() {
        try (RelayFixture withoutQuota = new RelayFixture(0)) {
            FleetTarget only = withoutQuota.addTarget("only");
            withoutQuota.setRoute(RequestKind.REPEATABLE, 2);
            FakeResponse response = withoutQuota.send();
            withoutQuota.assignments.assign(only);
            withoutQuota.calls.last().reset();

            assertThat(withoutQuota.calls.started).hasSize(1);
            assertThat(response.status).isEqualTo(502);
        }
    }

    @Example
    void aTargetsOwnErrorReachesTheCallerWhenNoAttemptIsLeft() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().head(500).body("failed").end();

        assertThat(response.status).isEqualTo(500);
        assertThat(response.headers.get("by")).containsExactly("first");
    }

    @Example
    void aNotRunStatusIsReplacedUnlessTheTargetReportsNotRun() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().head(503);

        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aResponseThatIsNotGenuineIsNeverForwarded() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().headThatIsNotGenuine();

        assertThat(response.status).isEqualTo(502);
        assertThat(fixture.calls.last().closed).isTrue();
    }

    @Example
    void onlyCompleteEventsAreForwarded() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\nid: 2\nda");

        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\n");
        fixture.calls.last().body("ta: b\n\n").end();
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
        assertThat(fixture.assignments.firstEvents).hasSize(1);
    }

    @Example
    void aBrokenStreamContinuesOnAnotherTargetWithoutGapsOrDuplicates() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\nid: 2\nda");
        fixture.calls.last().reset();
        fixture.assignments.assign(second);

        assertThat(fixture.calls.last().call.resumeAfter()).isEqualTo(OptionalLong.of(1));
        fixture.calls
                .last()
                .head(200)
                .body("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
                .end();
        assertThat(response.headers.get("by")).containsExactly("first");
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
    }

    @Example
    void aStreamWithAMissingEventIsAborted() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");

        assertThat(response.aborted).isTrue();
        assertThat(response.body.toString()).doesNotContain("data: c");
    }

    @Example
    void aStreamThatEndsWithinAnEventIsAborted() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\nid: 2\nda").end();

        assertThat(response.aborted).isTrue();
        assertThat(response.ended).isFalse();
    }

    @Example
    void aStreamThatRunsOnceIsNotResumed() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.calls.last().reset();

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(response.aborted).isTrue();
    }

    @Example
    void aCallerThatResumesGetsNoEventTwice() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = fixture.send("/a/b", RelayFixture.KEY, OptionalLong.of(4));
        fixture.assignments.assign(first);

        assertThat(fixture.calls.last().call.resumeAfter()).isEqualTo(OptionalLong.of(4));
        fixture.calls
                .last()
                .head(200)
                .body("id: 4\ndata: d\n\nid: 5\ndata: e\n\n")
                .end();
        assertThat(response.body.toString()).isEqualTo("id: 5\ndata: e\n\n");
    }

    @Example
    void theTargetIsFreedAtOnceWhenTheCallerDisconnects() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        response.disconnect();

        assertThat(fixture.calls.last().closed).isTrue();
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
        assertThat(fixture.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aRequestForATargetIsWithdrawnWhenTheCallerDisconnects() {
        fixture.setRoute(RequestKind.REPEATABLE, 2);
        FakeResponse response = fixture.send();
        response.disconnect();
        fixture.assignments.assign(first);

        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.outcomes).contains(Outcome.WITHDRAWN);
    }

    @Example
    void aRequestIsNotSentIfTheCallersConnectionIsAlreadyClosed() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = fixture.send();
        response.closed = true;
        fixture.assignments.assign(first);

        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
        assertThat(fixture.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void noMoreMemoryIsReservedAfterTheCallerDisconnects() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = fixture.send();
        fixture.calls.reservationResult = new CompletableFuture<>();
        fixture.assignments.assign(first, 1_000, second, fixture.addTarget("third"));
        assertThat(fixture.calls.reserved).hasSize(1);
        response.disconnect();
        fixture.calls.reservationResult.complete(null);
        fixture.advance(10_000);

        assertThat(fixture.calls.reserved).hasSize(1);
        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.calls.released).containsAtLeastElementsIn(fixture.calls.reserved);
    }

    @Example
    void aTimeoutIsReportedAtOnceWhileATargetIsWorking() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.advance(3_999);
        assertThat(response.ended).isFalse();
        fixture.advance(1);

        assertThat(response.status).isEqualTo(504);
        assertThat(fixture.calls.last().closed).isTrue();
    }

    @Example
    void aTimeoutWhileQueuedIsRefusedAsNotRun() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        fixture.advance(4_000);

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
    }

    /** Guards against callers that all return somewhat later than the place that each of them was given. */
    @Example
    void workThatIsDisplacedIsRefusedAsNotRunAndItsCallerToldItsPlace() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        fixture.assignments.refuse(RefusalReason.DISPLACED);

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
        assertThat(response.headers.get("retry-after")).containsExactly("0.400");
        assertThat(fixture.assignments.lastSubmitted().terms().callerKey()).isNotEqualTo(0);
    }

    @Example
    void anUnresponsiveTargetIsKeptUntilThereIsAnother() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.advance(1_301);
        assertThat(fixture.assignments.submitted).hasSize(2);
        fixture.assignments.refuse(RefusalReason.TOO_LATE);

        assertThat(response.aborted).isFalse();
        assertThat(fixture.calls.last().closed).isFalse();
        fixture.calls.last().body("id: 2\ndata: b\n\n").end();
        assertThat(response.ended).isTrue();
    }

    @Example
    void aRequestMovesFromAnUnresponsiveTargetToAnother() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.advance(1_301);
        fixture.assignments.assign(second);

        assertThat(fixture.calls.started.get(0).closed).isTrue();
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.SILENT);
        fixture.calls.last().head(200).body("id: 2\ndata: b\n\n").end();
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    /** Guards against sound streams that were moved while their target read a part that was assigned to it. */
    @Example
    void aStreamStaysWithItsTargetDuringAPauseThatWasAnnounced() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.assignments.expectPause(Duration.ofMillis(1_500));
        fixture.advance(1_301);
        fixture.advance(300);
        assertThat(fixture.assignments.submitted).hasSize(1);
        fixture.calls.last().body("id: 2\ndata: b\n\n").end();

        assertThat(response.ended).isTrue();
    }

    @Example
    void aTargetThatStaysUnresponsiveAfterAnAnnouncedPauseIsLeft() {
        sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.assignments.expectPause(Duration.ofMillis(1_500));
        fixture.advance(1_301);
        fixture.advance(550);

        assertThat(fixture.assignments.submitted).hasSize(2);
    }

    @Example
    void aStreamIsMovedInTimeIfTheAnnouncedPauseIsLongerThanItsCallerWaits() {
        sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.assignments.expectPause(Duration.ofMillis(2_500));
        fixture.advance(1_301);

        assertThat(fixture.assignments.submitted).hasSize(2);
    }

    @Example
    void theAgeOfAStalledStreamCountsFromItsLastEvent() {
        sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200);
        for (int id = 1; id <= 3; id++) {
            fixture.advance(600);
            fixture.calls.last().body("id: " + id + "\ndata: x\n\n");
        }
        fixture.advance(1_000);
        fixture.advance(400);

        assertThat(fixture.assignments.submitted).hasSize(2);
        assertThat(fixture.assignments.lastSubmitted().age()).isEqualTo(Duration.ofMillis(1_400));
    }

    @Example
    void theAgeOfABrokenStreamCountsFromItsLastEvent() {
        sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200);
        fixture.advance(1_000);
        fixture.calls.last().body("id: 1\ndata: x\n\n");
        fixture.advance(300);
        fixture.calls.last().reset();

        assertThat(fixture.assignments.lastSubmitted().age()).isEqualTo(Duration.ofMillis(300));
    }

    @Example
    void aTargetThatSentAnEventMeanwhileIsKept() {
        sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        fixture.advance(1_301);
        fixture.calls.last().body("id: 2\ndata: b\n\n");
        fixture.assignments.assign(second);

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.WITHDRAWN);
    }

    @Example
    void anAssignmentToATargetThatIsUnusableInThisHostsViewIsNotUsed() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.send();
        fixture.fleet.remove(TargetId.of("first"), 0);
        fixture.assignments.assign(first);

        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(TargetId.of("first"));
    }

    @Example
    void requestsAreRefusedAsNotReadyBeforeTheFirstConfiguration() {
        FakeResponse response = fixture.send();

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("NOT_READY");
    }

    @Example
    void anUnknownPathIsNotFoundAndAnUnknownKeyIsRejected() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);

        assertThat(fixture.send("/b/", RelayFixture.KEY, OptionalLong.empty()).status)
                .isEqualTo(404);
        assertThat(fixture.send("/a/", "other", OptionalLong.empty()).status).isEqualTo(401);
    }

    @Example
    void aStoppingHostRefusesNewRequestsAndFinishesTheOthers() {
        FakeResponse running = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.relay.refuseNew();
        FakeResponse refused = fixture.send();

        assertThat(refused.status).isEqualTo(503);
        fixture.calls.last().head(200).body("done").end();
        assertThat(running.status).isEqualTo(200);
    }

    @Example
    void theLogContainsTheCauseUnderTheRequestId() {
        sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().reset();
        String log = fixture.log();

        assertThat(log).contains("what=assigned id=request");
        assertThat(log).contains("target=first");
        assertThat(log).contains("what=attempt_failed id=request");
        assertThat(log).contains("what=refused id=request route=route kind=OUTCOME_UNKNOWN");
    }

    @Example
    void aRefusedPromptIsRetriedWithoutTheSameHelpers() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        fixture.send();
        fixture.assignments.assign(first, second);
        fixture.calls.last().refuse();

        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id(), second.id());
    }

    private void quarantine(String part) {
        fixture.quarantine.apply(
                new QuarantineEvent.Convicted(
                        new PartKey(RelayFixture.SERVICE, PromptPartId.of(part)), "3 crashes by 2 prompts", 0),
                0);
        fixture.relay.failQuarantined();
    }

    private void setPromptParts(String... parts) {
        fixture.promptParts = Stream.of(parts).map(PromptPartId::of).collect(ImmutableList.toImmutableList());
    }

    @Example
    void aPromptWithAQuarantinedPartIsRefusedForGoodAndReachesNoTarget() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        quarantine("dead");
        setPromptParts("c", "dead", "own");
        FakeResponse response = fixture.send();

        assertThat(response.status).isEqualTo(400);
        assertThat(response.headers.get("retry-after")).isEmpty();
        assertThat(response.body.toString()).contains("PROMPT_QUARANTINED");
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
        assertThat(fixture.assignments.submitted).isEmpty();
    }

    @Example
    void aPromptThatSharesOtherPartsWithAQuarantinedOneIsServed() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        quarantine("dead");
        setPromptParts("c", "own");
        fixture.send();

        assertThat(fixture.assignments.submitted).hasSize(1);
    }

    @Example
    void aRequestThatWaitsForATargetIsRefusedOnceItsPartIsQuarantined() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        setPromptParts("dead", "own");
        FakeResponse response = fixture.send();
        quarantine("dead");
        fixture.assignments.assign(first);

        assertThat(response.status).isEqualTo(400);
        assertThat(fixture.calls.started).isEmpty();
    }

    @Example
    void aRequestAtATargetIsCancelledOnceItsPartIsQuarantined() {
        setPromptParts("dead", "own");
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        quarantine("dead");

        assertThat(fixture.calls.last().closed).isTrue();
        assertThat(response.status).isEqualTo(400);
        assertThat(response.body.toString()).contains("\"ran\":\"unknown\"");
        assertThat(fixture.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aStreamThatHasBegunGoesOnAfterItsPartIsQuarantined() {
        setPromptParts("dead", "own");
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().head(200).body("id: 1\ndata: a\n\n");
        quarantine("dead");
        fixture.calls.last().body("id: 2\ndata: b\n\n").end();

        assertThat(response.status).isEqualTo(200);
        assertThat(response.ended).isTrue();
    }

    @Example
    void aRequestWhoseTargetCrashedIsNotSentAgainWhileItsPartIsSuspected() {
        setPromptParts("dead", "own");
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls.last().reset();
        assertThat(fixture.assignments.lastSubmitted().crashes()).isEqualTo(1);
        fixture.assignments.refuse(RefusalReason.SUSPECTED);

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(response.status).isEqualTo(502);
        assertThat(response.headers.get("retry-after")).isEmpty();
    }

    /** Guards against more arrivals beyond the first than all hosts together may send: 260 where 199 were allowed. */
    @Example
    void targetsThatCameBackUnderAnotherIdUseUpTheRetryQuota() {
        try (RelayFixture limited = new RelayFixture(5)) {
            limited.setRoute(RequestKind.RESUMABLE_STREAM, 2);
            FleetTarget target = limited.addTarget("old");
            int requests = 10;
            for (int i = 0; i < requests; i++) {
                FakeResponse response = limited.send();
                int submitted = 0;
                while (!response.ended && limited.assignments.submitted.size() > submitted) {
                    submitted = limited.assignments.submitted.size();
                    limited.assignments.assign(target);
                    limited.calls.last().respondAsAnotherIncarnation();
                }
                assertThat(response.status).isEqualTo(503);
            }

            assertThat(limited.calls.started.size() - requests).isAtMost(3);
            assertThat(limited.assignments.outcomes).contains(Outcome.REPLACED);
        }
    }

    @Example
    void aStreamThatEndsWithItsConnectionIsCompleteAfterAWholeEvent() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls.last().headWithoutLength(200).body("id: 1\ndata: a\n\n").end();

        assertThat(response.ended).isTrue();
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.SUCCEEDED);
    }

    @Example
    void aStreamThatEndsWithItsConnectionWithinAnEventIsBroken() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls
                .last()
                .headWithoutLength(200)
                .body("id: 1\ndata: a\n\nid: 2\nda")
                .end();

        assertThat(response.aborted).isTrue();
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.ABORTED);
    }

    /** Guards against an empty stream of a target that crashed before its first event and looked complete. */
    @Example
    void aStreamThatEndsWithItsConnectionBeforeAnyEventIsNotComplete() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls.last().headWithoutLength(200).end();

        assertThat(response.status).isEqualTo(502);
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.ABORTED);
    }

    @Example
    void aStreamThatEndsWithItsConnectionIsResumedElsewhereIfItBrokeOff() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls
                .last()
                .headWithoutLength(200)
                .body("id: 1\ndata: a\n\nid: 2\n")
                .end();
        fixture.assignments.assign(second);
        fixture.calls.last().headWithoutLength(200).body("id: 2\ndata: b\n\n").end();

        assertThat(response.ended).isTrue();
        assertThat(response.body.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Example
    void aResumedStreamThatEndsWithItsConnectionBeforeAnyEventIsNotComplete() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.calls
                .last()
                .headWithoutLength(200)
                .body("id: 1\ndata: a\n\nid: 2\n")
                .end();
        fixture.assignments.assign(second);
        fixture.calls.last().headWithoutLength(200).end();

        assertThat(response.aborted).isTrue();
    }

    @Example
    void aPlainAnswerThatEndsWithItsConnectionCountsUnlessItWasReset() {
        FakeResponse whole = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().headWithoutLength(200).body("done").end();
        FakeResponse reset = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().headWithoutLength(200).body("do").reset();

        assertThat(whole.status).isEqualTo(200);
        assertThat(reset.status).isEqualTo(502);
    }

    /** Guards against requests that reach a target which said in an answer that it is leaving. */
    @Example
    void aRequestThatWaitsForAConnectionToALeavingTargetIsPlacedElsewhere() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().sent = false;
        fixture.fleet.recordLeaving(first.incarnation());
        fixture.relay.takeBack(first.incarnation());

        assertThat(fixture.calls.last().closed).isTrue();
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id());
        fixture.assignments.assign(second);
        fixture.calls.last().head(200).body("done").end();
        assertThat(response.headers.get("by")).containsExactly("second");
    }

    @Example
    void aRequestThatWasSentToALeavingTargetGoesOnToItsEnd() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.fleet.recordLeaving(first.incarnation());
        fixture.relay.takeBack(first.incarnation());
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n").end();

        assertThat(response.ended).isTrue();
        assertThat(response.headers.get("by")).containsExactly("first");
    }

    @Example
    void anAssignmentThatArrivesAfterItsTargetSaidThatItLeavesIsNotUsed() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.send();
        fixture.fleet.recordLeaving(first.incarnation());
        fixture.assignments.assign(first);

        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id());
    }

    @Example
    void aPromptWhosePartALeavingTargetWouldStoreIsPlacedElsewhere() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 1);
        fixture.send();
        fixture.fleet.recordLeaving(second.incarnation());
        fixture.assignments.assign(first, 100, second);

        assertThat(fixture.calls.reserved).isEmpty();
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(second.id());
    }

    @Example
    void aTargetThatBeginsToDrainWhileMemoryIsReservedGetsNoRequest() {
        fixture.calls.reservationResult = new CompletableFuture<>();
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 1);
        fixture.send();
        fixture.assignments.assign(first, 100, second);
        fixture.fleet.put(first.asDraining(), 0);
        fixture.calls.reservationResult.complete(null);
        fixture.advance(1);

        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.calls.released).containsExactly(second.id());
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id());
    }

    @Example
    void aStreamIsNotResumedAtALeavingTarget() {
        sendAndAssign(RequestKind.RESUMABLE_STREAM, 3);
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n");
        fixture.fleet.recordLeaving(second.incarnation());
        fixture.calls.last().reset();
        fixture.assignments.assign(second);

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id(), second.id());
    }

    private FakeResponse sendTo(FleetTarget target) {
        FakeResponse response = fixture.send();
        fixture.assignments.assign(target);
        return response;
    }

    /** Guards against responses without an end that take the memory of a host from sound ones. */
    @Example
    void aStreamWhoseEventHasNoEndGivesWayToASoundResponse() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 1);
        FakeResponse endless = sendTo(first);
        RelayFixture.FakeCall endlessCall = fixture.calls.last().head(200);
        FakeResponse sound = sendTo(second);
        RelayFixture.FakeCall soundCall = fixture.calls.last().head(200).body("id: 1\ndata: x");
        for (int sent = 0; sent < 2 * RelayFixture.RESPONSE_MEMORY && !endlessCall.closed; sent += 16 << 10) {
            endlessCall.body("x".repeat(16 << 10));
            assertThat(fixture.responseMemory.heldBytes()).isAtMost(RelayFixture.RESPONSE_MEMORY);
        }
        soundCall.body("\n\n").end();

        assertThat(endless.status).isEqualTo(502);
        assertThat(sound.body.toString()).isEqualTo("id: 1\ndata: x\n\n");
        assertThat(sound.ended).isTrue();
        assertThat(fixture.responseMemory.heldBytes()).isEqualTo(0);
    }

    @Example
    void aResponseIsHeldUntilItsCallerHasReadIt() {
        FakeResponse response = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        response.reading = false;
        fixture.calls.last().head(200).body("x".repeat(200 << 10)).body("y").end();

        assertThat(fixture.responseMemory.heldBytes()).isEqualTo((200 << 10) + 1);
        response.readAll();
        assertThat(fixture.responseMemory.heldBytes()).isEqualTo(0);
    }

    @Example
    void aResponseThatIsNotReadGivesWay() {
        FakeResponse unread = sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        unread.reading = false;
        fixture.calls.last().head(200).body("x".repeat(700 << 10)).end();
        FakeResponse response = sendTo(second);
        fixture.calls.last().head(200).body("y".repeat(300 << 10)).end();

        assertThat(unread.aborted).isTrue();
        assertThat(response.body.length()).isEqualTo(300 << 10);
        assertThat(fixture.responseMemory.heldBytes()).isEqualTo(0);
    }

    @Example
    void aRepeatableRequestWhoseResponseFoundNoMemoryIsSentToAnotherTarget() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.calls.last().head(200).body("x".repeat(RelayFixture.RESPONSE_MEMORY));
        fixture.assignments.assign(second);
        fixture.calls.last().head(200).body("done").end();

        assertThat(response.status).isEqualTo(200);
        assertThat(response.body.toString()).isEqualTo("done");
        assertThat(fixture.responseMemory.heldBytes()).isEqualTo(0);
    }

    /** Guards against hosts that accept every caller once the last keys have been taken away. */
    @Example
    void noRequestIsSentOnceTheLastKeyIsTakenAway() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.keys = ImmutableMap.of();
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);

        for (String key : new String[] {RelayFixture.KEY, "other", ""}) {
            assertThat(fixture.send("/a/b", key, OptionalLong.empty()).status).isEqualTo(401);
        }
        assertThat(fixture.assignments.submitted).isEmpty();
    }
}
