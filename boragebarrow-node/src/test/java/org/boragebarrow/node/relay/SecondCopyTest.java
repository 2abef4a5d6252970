package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.RelayFixture.FakeCall;
import org.boragebarrow.node.relay.RelayFixture.FakeResponse;

import static com.google.common.truth.Truth.assertThat;

class SecondCopyTest {
    private static final Duration LATE_AFTER = Duration.ofMillis(200);
    private static final String EVENT = "id: 1\ndata: %s\n\n";
    private static final String LAST_EVENT = "id: 2\ndata: %s\n\n";

    private final RelayFixture fixture = new RelayFixture(100);
    private final FleetTarget first = fixture.addTarget("first");
    private final FleetTarget second = fixture.addTarget("second");
    private FakeCall firstCall;
    private FakeCall secondCall;

    @AfterTry
    void close() {
        fixture.close();
    }

    private FakeResponse sendAndAssign(RequestKind kind, int maxTargets) {
        fixture.allowCopies();
        fixture.setRoute(kind, maxTargets);
        FakeResponse response = fixture.send();
        fixture.assignments.assignWithLateAnswer(first, LATE_AFTER);
        firstCall = fixture.calls.last();
        return response;
    }

    /** Sends a request and, once its answer is late, its second copy. */
    private FakeResponse sendTwice(RequestKind kind) {
        FakeResponse response = sendAndAssign(kind, 2);
        fixture.advance(LATE_AFTER.toMillis());
        fixture.assignments.assign(second);
        secondCall = fixture.calls.last();
        assertThat(secondCall).isNotSameInstanceAs(firstCall);
        return response;
    }

    private void assertNothingIsLeft() {
        assertThat(fixture.assignments.open).isEmpty();
        assertThat(fixture.relay.inProgress()).isEqualTo(0);
    }

    @Example
    void aSecondCopyIsRequestedElsewhereOnceTheAnswerIsLate() {
        sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.advance(LATE_AFTER.toMillis() - 1);
        assertThat(fixture.assignments.submitted).hasSize(1);
        assertThat(fixture.assignments.lastSubmitted().terms().duplicable()).isTrue();
        fixture.advance(1);

        assertThat(fixture.assignments.submitted).hasSize(2);
        assertThat(fixture.assignments.lastSubmitted().terms().purpose()).isEqualTo(WorkTerms.Purpose.DUPLICATE);
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(TargetId.of("first"));
        fixture.advance(1_000);
        assertThat(fixture.assignments.submitted).hasSize(2);
    }

    @Example
    void theCopysAnswerIsDeliveredWholeAndTheFirstAttemptEnds() {
        FakeResponse response = sendTwice(RequestKind.REPEATABLE);
        firstCall.head(200).body("half");
        secondCall.head(200).body("done").end();

        assertThat(response.body.toString()).isEqualTo("done");
        assertThat(response.headers.get("by")).containsExactly("second");
        assertThat(firstCall.closed).isTrue();
        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.WITHDRAWN, Outcome.SUCCEEDED);
        assertNothingIsLeft();
    }

    @Example
    void theFirstAnswerEndsTheCopy() {
        FakeResponse response = sendTwice(RequestKind.REPEATABLE);
        firstCall.head(200).body("done").end();

        assertThat(response.headers.get("by")).containsExactly("first");
        assertThat(secondCall.closed).isTrue();
        assertNothingIsLeft();
    }

    /** Guards against events of both copies in one answer, whichever comes first. */
    @Example
    void ofTwoFirstEventsInTheSameMomentOneIsDelivered() {
        FakeResponse response = sendTwice(RequestKind.RESUMABLE_STREAM);
        firstCall.head(200);
        secondCall.head(200).body(EVENT.formatted("b"));
        firstCall.body(EVENT.formatted("a"));
        secondCall.body(LAST_EVENT.formatted("b")).end();
        firstCall.body(LAST_EVENT.formatted("a")).end();

        assertThat(response.body.toString()).isEqualTo(EVENT.formatted("b") + LAST_EVENT.formatted("b"));
        assertThat(response.headers.get("by")).containsExactly("second");
        assertThat(firstCall.closed).isTrue();
        assertThat(response.ended).isTrue();
        assertNothingIsLeft();
    }

    @Example
    void aFirstEventWhileTheCopyIsRequestedWithdrawsIt() {
        FakeResponse response = sendAndAssign(RequestKind.RESUMABLE_STREAM, 2);
        fixture.advance(LATE_AFTER.toMillis());
        firstCall.head(200).body(EVENT.formatted("a"));
        fixture.assignments.assign(second);
        firstCall.end();

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(response.ended).isTrue();
        assertNothingIsLeft();
    }

    @Example
    void noCopyIsRequestedWhereItIsNotAllowed() {
        sendAndAssign(RequestKind.AT_MOST_ONCE, 3);
        sendAndAssign(RequestKind.AT_MOST_ONCE_STREAM, 3);
        sendAndAssign(RequestKind.REPEATABLE, 1);
        fixture.retryQuota.setHostCountKnown(false);
        sendWithoutSetup();
        fixture.retryQuota.setHostCountKnown(true);
        fixture.retryQuota.setDuplicatesAllowed(false);
        sendWithoutSetup();
        fixture.advance(LATE_AFTER.toMillis());

        assertThat(fixture.assignments.submitted).hasSize(5);
    }

    private void sendWithoutSetup() {
        fixture.setRoute(RequestKind.REPEATABLE, 2);
        fixture.send();
        fixture.assignments.assignWithLateAnswer(first, LATE_AFTER);
    }

    /** Guards against copies that leave no retry for requests that fail. */
    @Example
    void copiesTakeNoMoreThanHalfOfTheRetries() {
        try (RelayFixture small = new RelayFixture(5)) {
            FleetTarget target = small.addTarget("target");
            FleetTarget other = small.addTarget("other");
            small.allowCopies();
            small.setRoute(RequestKind.REPEATABLE, 2);
            for (int i = 0; i < 3; i++) {
                small.send();
                small.assignments.assignWithLateAnswer(target, LATE_AFTER);
                small.advance(LATE_AFTER.toMillis());
                if (small.assignments.lastSubmitted().terms().purpose() == WorkTerms.Purpose.DUPLICATE) {
                    small.assignments.assign(other);
                }
            }

            assertThat(small.calls.started).hasSize(4);
        }
    }

    @Example
    void aRefusedCopyLeavesTheFirstAttemptAlone() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.advance(LATE_AFTER.toMillis());
        fixture.assignments.refuse(RefusalReason.COPIES_PAUSED);
        firstCall.head(200).body("done").end();

        assertThat(response.body.toString()).isEqualTo("done");
        assertNothingIsLeft();
    }

    @Example
    void ifOneAttemptFailsTheRequestContinuesWithTheOther() {
        FakeResponse response = sendTwice(RequestKind.REPEATABLE);
        firstCall.reset();
        assertThat(response.isOpen()).isTrue();
        secondCall.head(200).body("done").end();

        assertThat(response.headers.get("by")).containsExactly("second");
        assertThat(fixture.assignments.submitted).hasSize(2);
        assertNothingIsLeft();
    }

    @Example
    void anErrorOfTheCopyIsNoAnswer() {
        FakeResponse response = sendTwice(RequestKind.REPEATABLE);
        secondCall.head(500).body("failed").end();
        assertThat(response.isOpen()).isTrue();
        firstCall.head(200).body("done").end();

        assertThat(response.headers.get("by")).containsExactly("first");
        assertNothingIsLeft();
    }

    @Example
    void ifBothAttemptsFailTheRequestMayHaveRun() {
        FakeResponse response = sendTwice(RequestKind.REPEATABLE);
        secondCall.refuse();
        firstCall.reset();

        assertThat(response.status).isEqualTo(502);
        assertNothingIsLeft();
    }

    @Example
    void aCallerThatLeavesEndsBoth() {
        FakeResponse response = sendTwice(RequestKind.RESUMABLE_STREAM);
        response.disconnect();

        assertThat(firstCall.closed).isTrue();
        assertThat(secondCall.closed).isTrue();
        assertNothingIsLeft();
    }

    @Example
    void theTimeLimitEndsBoth() {
        FakeResponse response = sendTwice(RequestKind.REPEATABLE);
        fixture.advance(4_000);

        assertThat(response.status).isEqualTo(504);
        assertThat(secondCall.closed).isTrue();
        assertNothingIsLeft();
    }

    @Example
    void aCopyIsNotSentToATargetThatWantsNoWork() {
        sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.advance(LATE_AFTER.toMillis());
        fixture.fleet.remove(second.id(), 0);
        fixture.assignments.assign(second);

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(fixture.assignments.open).hasSize(1);
    }

    @Example
    void aCopyThatWaitsForAConnectionEndsIfItsTargetWantsNoWork() {
        sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.advance(LATE_AFTER.toMillis());
        fixture.calls.sendsAtOnce = false;
        fixture.assignments.assign(second);
        fixture.relay.takeBack(new TargetIncarnation(second.id(), 1));

        assertThat(fixture.calls.last().closed).isTrue();
        assertThat(firstCall.closed).isFalse();
        assertThat(fixture.assignments.submitted).hasSize(2);
    }

    /** Replays answers, failures, ends and decisions in random orders. */
    @Property(seed = "17", tries = 300)
    void aRequestHasOneAnswerAndLeavesNothingBehind(@ForAll Random random) {
        try (RelayFixture any = new RelayFixture(100)) {
            FleetTarget a = any.addTarget("a");
            FleetTarget b = any.addTarget("b");
            any.allowCopies();
            any.setRoute(RequestKind.RESUMABLE_STREAM, 2);
            FakeResponse response = any.send("/a/b", RelayFixture.KEY, OptionalLong.empty());
            any.assignments.assignWithLateAnswer(a, LATE_AFTER);
            int decided = 1;
            for (int i = 0; i < 40 && response.isOpen(); i++) {
                if (any.assignments.submitted.size() > decided && random.nextBoolean()) {
                    decided++;
                    if (random.nextInt(4) == 0) {
                        any.assignments.refuse(RefusalReason.NO_TARGET);
                    } else {
                        any.assignments.assign(b);
                    }
                    continue;
                }
                step(any, any.calls.started.get(random.nextInt(any.calls.started.size())), random.nextInt(9));
            }
            any.advance(5_000);

            long inSequence = response.body
                    .toString()
                    .lines()
                    .filter(line -> line.startsWith("id:"))
                    .count();
            assertThat(inSequence)
                    .isEqualTo(response.body
                            .toString()
                            .lines()
                            .filter(line -> line.startsWith("id:"))
                            .distinct()
                            .count());
            assertThat(response.ended || response.aborted).isTrue();
            assertThat(any.calls.started.size()).isAtMost(2);
            assertThat(any.assignments.open).isEmpty();
            assertThat(any.relay.inProgress()).isEqualTo(0);
            any.calls.started.forEach(
                    call -> assertThat(call.closed || call.ended).isTrue());
        }
    }

    private static void step(RelayFixture fixture, FakeCall call, int choice) {
        if (choice < 4) {
            fixture.advance(60);
            return;
        }
        if (call.closed || call.ended) {
            return;
        }
        switch (choice) {
            case 4 -> call.head(200).body(EVENT.formatted(call.call.target().id()));
            case 5 ->
                call.head(200).body(LAST_EVENT.formatted(call.call.target().id()));
            case 6 -> call.head(200).end();
            case 7 -> call.reset();
            default -> call.refuse();
        }
    }
}
