package org.boragebarrow.node.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.fleet.TargetSignal;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.RelayFixture.FakeCall;
import org.boragebarrow.node.relay.RelayFixture.FakeResponse;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests what a host does when targets announce in their answers that they leave or want no requests. */
class RelaySignalTest {
    private static final TargetSignal LEAVING = new TargetSignal.Leaving();

    /** Ends a test in which orders follow one another without end. */
    private static final int MAX_ORDERS = 50;

    private final RelayFixture fixture = new RelayFixture(100);
    private final FleetTarget first = fixture.addTarget("first");
    private final FleetTarget second = fixture.addTarget("second");

    @AfterTry
    void close() {
        fixture.close();
    }

    private static TargetSignal quiet(long millis) {
        return new TargetSignal.QuietRequested(Duration.ofMillis(millis));
    }

    private FakeResponse sendAndAssign(RequestKind kind, int maxTargets) {
        fixture.setRoute(kind, maxTargets);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first);
        return response;
    }

    @Example
    void signalsArePassedOnOnce() {
        fixture.signals.onSignal(first, LEAVING);
        fixture.signals.onSignal(first, LEAVING);
        fixture.signals.onSignal(second, quiet(2_000));
        fixture.signals.onSignal(second, quiet(500));
        fixture.signals.onAnnouncedLeaving(second.incarnation());

        assertThat(fixture.announced).containsExactly("leaving first@1", "quiet second@1 2000");
    }

    @Example
    void anAssignmentToATargetThatWantsNoRequestsIsNotUsed() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.signals.onSignal(first, quiet(2_000));
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first);
        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id());
        fixture.assignments.assign(second);
        fixture.calls.last().head(200).body("done").end();
        assertThat(response.status).isEqualTo(200);

        fixture.advance(2_001);
        fixture.send();
        fixture.assignments.assign(first);
        assertThat(fixture.calls.started).hasSize(2);
    }

    @Example
    void aRequestThatWaitsForAConnectionToATargetThatWantsNoRequestsIsPlacedElsewhere() {
        sendAndAssign(RequestKind.AT_MOST_ONCE, 1);
        fixture.calls.last().sent = false;
        fixture.signals.onSignal(first, quiet(2_000));
        fixture.advance(1);

        assertThat(fixture.calls.last().closed).isTrue();
        assertThat(fixture.assignments.lastSubmitted().excluded()).containsExactly(first.id());
    }

    @Example
    void aTargetThatAsksForQuietIsNotTakenForAFailingOne() {
        FakeResponse response = sendAndAssign(RequestKind.REPEATABLE, 2);
        fixture.calls.last().refuseAskingForQuiet();

        assertThat(fixture.assignments.outcomes).containsExactly(Outcome.REFUSED);
        assertThat(fixture.calls.checked).isEmpty();
        fixture.assignments.refuse(RefusalReason.QUIET);
        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aRefusalBecauseAllTargetsWantNoRequestsTellsWhenToComeBack() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        fixture.assignments.refuse(RefusalReason.QUIET);

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
        double seconds = Double.parseDouble(response.headers.get("retry-after").get(0));
        assertThat(seconds).isAtLeast(0.4);
        assertThat(seconds).isAtMost(0.6);
    }

    @Example
    void aRejectionCountsAsARetry() {
        try (RelayFixture withoutQuota = new RelayFixture(0)) {
            FleetTarget only = withoutQuota.addTarget("only");
            withoutQuota.setRoute(RequestKind.REPEATABLE, 3);
            FakeResponse response = withoutQuota.send();
            withoutQuota.assignments.assign(only);
            withoutQuota.calls.last().refuse();

            assertThat(withoutQuota.assignments.submitted).hasSize(1);
            assertThat(response.status).isEqualTo(503);
        }
    }

    @Example
    void memoryOnATargetThatWantsNoRequestsIsKeptByOneRenewalAndReleasedByOneRequest() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 1);
        fixture.send();
        fixture.assignments.assign(first, 100, second);
        fixture.advance(1);
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n");
        assertThat(fixture.calls.reserved).containsExactly(second.id());
        fixture.signals.onSignal(second, quiet(3_000));
        fixture.advance(1);
        assertThat(fixture.calls.reserved).hasSize(2);
        assertThat(fixture.calls.lifetimes.get(1)).isGreaterThan(Duration.ofSeconds(3));
        fixture.calls.last().body("id: 2\ndata: x\n\n");
        fixture.advance(1_900);
        assertThat(fixture.calls.reserved).hasSize(2);
        fixture.calls.last().body("id: 3\ndata: x\n\n").end();

        assertThat(fixture.calls.released).containsExactly(second.id());
    }

    @Example
    void releasesThatATargetDoesNotBearWaitForTheEndOfItsTime() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 1);
        List<FakeCall> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            fixture.send();
            fixture.assignments.assign(first, 100, second);
            fixture.advance(1);
            calls.add(fixture.calls.last().head(200).body("id: 1\ndata: x\n\n"));
        }
        fixture.signals.onSignal(second, quiet(1_000));
        fixture.advance(1);
        calls.forEach(FakeCall::end);
        assertThat(fixture.calls.released).hasSize(2);
        fixture.advance(1_010);
        assertThat(fixture.calls.released).hasSize(4);
    }

    /** What happens next; the number of the step chooses the target, the request and the time. */
    private enum Action {
        SEND,
        ASSIGN,
        ANSWER,
        REFUSE,
        LEAVE,
        ASK_FOR_QUIET,
        CONNECT,
        RESTART,
        ENTRY_READY,
        WAIT
    }

    /** Guards against requests that reach targets which announced that they want none, in any order of events. */
    @Property(tries = 1_000)
    void noRequestIsSentToATargetThatWantsNone(
            @ForAll @Size(max = 50) List<Action> actions,
            @ForAll @Size(50) List<@IntRange(max = 999) Integer> numbers) {
        try (RelayFixture replay = new RelayFixture(100)) {
            replay.setRoute(RequestKind.REPEATABLE, 3);
            Map<Integer, Long> started = new HashMap<>();
            Map<TargetIncarnation, Long> unwantedUntil = new HashMap<>();
            for (int i = 0; i < 3; i++) {
                started.put(i, 1L);
                replay.fleet.put(target(i, 1), 0);
            }
            for (int i = 0; i < actions.size(); i++) {
                int number = numbers.get(i);
                FleetTarget target = target(number % 3, started.get(number % 3));
                int sentBefore = replay.calls.started.size();
                switch (actions.get(i)) {
                    case SEND -> replay.send();
                    case ASSIGN -> {
                        if (!replay.assignments.submitted.isEmpty()) {
                            replay.assignments.assign(target);
                        }
                    }
                    case ANSWER ->
                        callOf(replay, number)
                                .ifPresent(call -> call.head(200).body("done").end());
                    case REFUSE -> callOf(replay, number).ifPresent(FakeCall::refuse);
                    case LEAVE -> {
                        replay.signals.onSignal(target, LEAVING);
                        unwantedUntil.put(target.incarnation(), Long.MAX_VALUE);
                    }
                    case ASK_FOR_QUIET -> {
                        replay.signals.onSignal(target, quiet(number));
                        long until = replay.now() + Duration.ofMillis(number).toNanos();
                        unwantedUntil.merge(target.incarnation(), until, Math::max);
                    }
                    case CONNECT -> {
                        callOf(replay, number).ifPresent(call -> call.sent = true);
                        replay.calls.sendsAtOnce = number % 2 == 0;
                    }
                    case RESTART -> {
                        started.merge(number % 3, 1L, Long::sum);
                        replay.fleet.put(target(number % 3, started.get(number % 3)), 0);
                    }
                    case ENTRY_READY -> replay.fleet.put(target, 0);
                    case WAIT -> replay.advance(number);
                    default -> throw new AssertionError(actions.get(i));
                }
                replay.advance(0);
                for (FakeCall call : replay.calls.started.subList(sentBefore, replay.calls.started.size())) {
                    long until = unwantedUntil.getOrDefault(call.call.target().incarnation(), Long.MIN_VALUE);
                    assertWithMessage("step %s of %s", i, actions)
                            .that(replay.now())
                            .isAtLeast(until);
                }
                assertNoneIsConnecting(replay, unwantedUntil);
            }
        }
    }

    private static void assertNoneIsConnecting(RelayFixture replay, Map<TargetIncarnation, Long> unwantedUntil) {
        for (FakeCall call : replay.calls.started) {
            long until = unwantedUntil.getOrDefault(call.call.target().incarnation(), Long.MIN_VALUE);
            if (!call.sent && !call.ended && replay.now() < until) {
                assertThat(call.closed).isTrue();
            }
        }
    }

    private static Optional<FakeCall> callOf(RelayFixture replay, int number) {
        List<FakeCall> open = replay.calls.started.stream()
                .filter(call -> !call.closed && !call.ended)
                .toList();
        return open.isEmpty() ? Optional.empty() : Optional.of(open.get(number % open.size()));
    }

    private static FleetTarget target(int number, long started) {
        return new FleetTarget(
                TargetId.of("t" + number),
                RelayFixture.SERVICE,
                Endpoint.of("10.0.0." + (number + 1), 80),
                AvailabilityZoneId.of("zone"),
                4,
                false,
                started);
    }

    /** Has a helper that holds a part of the prompt turn everything away from now on, for somewhat longer each time. */
    private void turnAway(FleetTarget helper, long quietMillis) {
        fixture.calls.onReserve = target -> {
            if (!target.equals(helper)) {
                return Optional.empty();
            }
            long turnedAway = reservedAt(helper);
            if (turnedAway < MAX_ORDERS) {
                fixture.signals.onSignal(helper, quiet(quietMillis + turnedAway));
            }
            return Optional.of(CompletableFuture.failedFuture(new IOException("status 503")));
        };
    }

    private long reservedAt(FleetTarget target) {
        return fixture.calls.reserved.stream().filter(target.id()::equals).count();
    }

    /** Guards against orders that are sent one after the other to a helper that wants none. */
    @Example
    void aHelperThatTurnsRenewalsAwayGetsOneLongRenewalAtOnceAndAtMostTwoMoreOrdersInItsQuietTime() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 2);
        fixture.send();
        fixture.assignments.assign(first, 100, second);
        fixture.advance(1);
        turnAway(second, 10_000);
        fixture.advance(900);
        assertThat(reservedAt(second)).isEqualTo(3);
        for (int i = 0; i < 90; i++) {
            fixture.advance(100);
        }

        assertThat(reservedAt(second) + fixture.calls.released.size()).isAtMost(5);
    }

    /** Guards against requests that are cut off because the memory of a part of their prompt expires. */
    @Example
    void aRequestMovesBeforeTheMemoryOfItsPromptExpires() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first, 100, second);
        fixture.advance(1);
        turnAway(second, 10_000);
        FakeCall call = fixture.calls.last();
        for (int i = 0; i < 28; i++) {
            fixture.advance(100);
        }

        assertThat(call.closed).isTrue();
        assertThat(response.isOpen()).isTrue();
        fixture.assignments.assign(fixture.addTarget("third"));
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n").end();
        assertThat(response.ended).isTrue();
    }

    @Example
    void aRequestThatMayRunOnceStaysWhileTheMemoryOfItsPromptExpires() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 2);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first, 100, second);
        fixture.advance(1);
        turnAway(second, 10_000);
        for (int i = 0; i < 28; i++) {
            fixture.advance(100);
        }

        assertThat(fixture.calls.last().closed).isFalse();
        assertThat(response.isOpen()).isTrue();
    }

    @Example
    void aHelperThatIsQuietIsNotAskedForMemory() {
        fixture.setRoute(RequestKind.REPEATABLE, 2);
        fixture.send();
        fixture.signals.onSignal(second, quiet(3_000));
        fixture.assignments.assign(first, 100, second);

        assertThat(fixture.calls.reserved).isEmpty();
    }

    /** Guards against memory on sound helpers that expires because another helper does not renew its own. */
    @Example
    void otherHelpersRenewTheMemoryOfARequestThatStays() {
        FleetTarget sound = fixture.addTarget("sound");
        fixture.setRoute(RequestKind.AT_MOST_ONCE_STREAM, 2);
        fixture.send();
        fixture.assignments.assign(first, 100, second, sound);
        fixture.advance(1);
        turnAway(second, 10_000);
        for (int i = 0; i < 39; i++) {
            fixture.advance(100);
        }

        assertThat(reservedAt(sound)).isEqualTo(5);
    }
}
