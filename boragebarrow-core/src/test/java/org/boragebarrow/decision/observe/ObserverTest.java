package org.boragebarrow.decision.observe;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Range;
import net.jqwik.api.Example;
import org.boragebarrow.decision.observe.ObserveEffect.CancelSequence;
import org.boragebarrow.decision.observe.ObserveEffect.ListHoldings;
import org.boragebarrow.decision.observe.ObserveEffect.Poll;
import org.boragebarrow.decision.observe.ObserveEffect.TargetChanged;
import org.boragebarrow.decision.observe.ObserveEvent.HoldingsListed;
import org.boragebarrow.decision.observe.ObserveEvent.MembersChanged;
import org.boragebarrow.decision.observe.ObserveEvent.PollAnswered;
import org.boragebarrow.decision.observe.ObserveEvent.PollFailed;
import org.boragebarrow.decision.observe.ObserveEvent.StatusesReceived;
import org.boragebarrow.decision.observe.ObserveEvent.TargetsListed;
import org.boragebarrow.decision.observe.ObserveEvent.Ticked;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineControl.Export;
import org.boragebarrow.port.EngineControl.Holdings;
import org.boragebarrow.port.EngineControl.Reservation;
import org.boragebarrow.port.EngineControl.Sequence;

import static com.google.common.truth.Truth.assertThat;

class ObserverTest {
    private static final long SECOND = 1_000_000_000L;
    private static final HostId OTHER = HostId.of("a1");
    private static final TargetId ENGINE = TargetId.of("engine-1");
    private static final AttemptId OWNED = AttemptId.of(Views.incarnation("a1", 2), 1);
    private static final AttemptId ORPHANED = AttemptId.of(Views.incarnation("a1", 1), 1);

    private final Observer observer = new Observer(HostId.of("a0"), ObserveSettings.defaults(), 3);
    private final List<ObserveEffect> effects = new ArrayList<>();
    private boolean pollsSucceed = true;
    private boolean accepting = true;
    private long now = SECOND;

    ObserverTest() {
        apply(new MembersChanged(Views.view(ImmutableSet.of("a0", "a1"), Views.incarnation("a1", 1))));
        listTarget(false);
    }

    private void listTarget(boolean leaving) {
        apply(new TargetsListed(ImmutableList.of(engine(ENGINE, leaving))));
    }

    private static Target engine(TargetId id, boolean leaving) {
        return new Target(id, TargetKind.ENGINE, Views.ZONE, Endpoint.of("10.1.0.1", 8000), Optional.empty(), leaving);
    }

    private List<ObserveEffect> apply(ObserveEvent event) {
        List<ObserveEffect> out = observer.apply(event, now);
        effects.addAll(out);
        return out;
    }

    /** Advances the clock in steps of 100 ms, with a target that answers its polls if {@code pollsSucceed}. */
    private void runFor(double seconds) {
        long end = now + (long) (seconds * SECOND);
        while (now < end) {
            now += SECOND / 10;
            for (ObserveEffect effect : apply(new Ticked())) {
                if (effect instanceof Poll poll) {
                    apply(
                            pollsSucceed
                                    ? new PollAnswered(poll.target(), poll.number(), accepting)
                                    : new PollFailed(poll.target(), poll.number()));
                }
            }
        }
    }

    private List<TargetChanged> changes() {
        return effects.stream()
                .filter(TargetChanged.class::isInstance)
                .map(TargetChanged.class::cast)
                .toList();
    }

    private long cancelCount() {
        return effects.stream().filter(CancelSequence.class::isInstance).count();
    }

    private void receiveStatus(boolean reachable) {
        apply(new StatusesReceived(OTHER, ImmutableMap.of(ENGINE, new TargetStatus(reachable, true))));
    }

    private static HoldingsListed sequence(AttemptId attempt, Duration remaining) {
        Holdings holdings = new Holdings(
                ImmutableList.of(new Sequence(attempt, remaining, 100)), ImmutableList.of(), ImmutableList.of());
        return new HoldingsListed(ENGINE, holdings);
    }

    @Example
    void aHealthyTargetIsPolledAndChangesNothing() {
        runFor(10);
        assertThat(effects.stream().filter(Poll.class::isInstance).count()).isIn(List.of(18L, 19L, 20L, 21L));
        assertThat(changes()).isEmpty();
    }

    @Example
    void aTargetThatNoObserverReachesIsUnreachableWithinTwoSeconds() {
        runFor(3);
        pollsSucceed = false;
        receiveStatus(false);
        runFor(2);
        assertThat(changes()).containsExactly(new TargetChanged(ENGINE, new TargetStatus(false, true)));
    }

    @Example
    void aTargetThatOneObserverReachesStaysReachable() {
        receiveStatus(true);
        pollsSucceed = false;
        runFor(10);
        assertThat(changes()).isEmpty();
    }

    @Example
    void oneLostPollChangesNothing() {
        receiveStatus(false);
        runFor(3);
        pollsSucceed = false;
        runFor(0.5);
        pollsSucceed = true;
        runFor(3);
        assertThat(changes()).isEmpty();
    }

    @Example
    void aTargetThatNeverAnswersTimesOut() {
        receiveStatus(false);
        for (int i = 0; i < 50; i++) {
            now += SECOND / 10;
            apply(new Ticked());
        }
        assertThat(changes()).containsExactly(new TargetChanged(ENGINE, new TargetStatus(false, true)));
    }

    @Example
    void aLateAnswerIsDropped() {
        receiveStatus(false);
        pollsSucceed = false;
        runFor(3);
        int before = changes().size();
        apply(new PollAnswered(ENGINE, 1, true));
        apply(new PollAnswered(ENGINE, 2, true));
        assertThat(changes()).hasSize(before);
    }

    @Example
    void aTargetThatStopsAcceptingIsReported() {
        runFor(2);
        accepting = false;
        runFor(1);
        assertThat(changes()).containsExactly(new TargetChanged(ENGINE, new TargetStatus(true, false)));
    }

    @Example
    void aTargetMarkedAsLeavingInTheHostListIsReported() {
        listTarget(true);
        assertThat(changes()).containsExactly(new TargetChanged(ENGINE, new TargetStatus(true, false)));
    }

    @Example
    void aSequenceOfAnEndedIncarnationIsCancelledUntilItIsNoLongerListed() {
        apply(sequence(ORPHANED, Duration.ofMinutes(5)));
        assertThat(cancelCount()).isEqualTo(1);
        for (int i = 0; i < 8; i++) {
            now += SECOND;
            apply(sequence(ORPHANED, Duration.ofMinutes(5)));
        }
        assertThat(cancelCount()).isEqualTo(4);
        apply(sequence(OWNED, Duration.ofMinutes(5)));
        now += 60 * SECOND;
        apply(sequence(OWNED, Duration.ofMinutes(5)));
        assertThat(cancelCount()).isEqualTo(4);
    }

    @Example
    void anOrphanExpeditesTheNextListing() {
        runFor(1);
        apply(sequence(ORPHANED, Duration.ofMinutes(5)));
        effects.clear();
        runFor(1.1);
        assertThat(effects).contains(new ListHoldings(ENGINE));
    }

    @Example
    void aSequenceOfALiveOwnerWithinItsTimeLimitIsNotCancelled() {
        for (int i = 0; i < 100; i++) {
            now += SECOND;
            apply(sequence(OWNED, Duration.ofMillis(1)));
        }
        assertThat(cancelCount()).isEqualTo(0);
    }

    @Example
    void aSequencePastItsLimitAndSlackIsCancelled() {
        apply(sequence(OWNED, Duration.ofMillis(-1_900)));
        assertThat(cancelCount()).isEqualTo(0);
        apply(sequence(OWNED, Duration.ofMillis(-2_100)));
        assertThat(cancelCount()).isEqualTo(1);
    }

    @Example
    void aSequenceWithZeroRemainingTimeIsCancelledAfterTheSlack() {
        apply(sequence(OWNED, Duration.ZERO));
        now += 2 * SECOND;
        apply(sequence(OWNED, Duration.ZERO));
        assertThat(cancelCount()).isEqualTo(0);
        now += SECOND;
        apply(sequence(OWNED, Duration.ZERO));
        assertThat(cancelCount()).isEqualTo(1);
    }

    @Example
    void reservationsAndExportsOfEndedIncarnationsAreReleased() {
        Holdings holdings = new Holdings(
                ImmutableList.of(),
                ImmutableList.of(new Reservation(ORPHANED, Duration.ofMinutes(1), 10)),
                ImmutableList.of(new Export("kv-1", ORPHANED, 10), new Export("kv-2", OWNED, 10)));
        List<ObserveEffect> out = apply(new HoldingsListed(ENGINE, holdings));
        assertThat(out)
                .containsExactly(
                        new ObserveEffect.ReleaseReservation(ENGINE, ORPHANED),
                        new ObserveEffect.DeleteExport(ENGINE, "kv-1"));
    }

    @Example
    void anExportOlderThanTheMaximumTimeLimitIsDeleted() {
        Holdings holdings =
                new Holdings(ImmutableList.of(), ImmutableList.of(), ImmutableList.of(new Export("kv-2", OWNED, 10)));
        assertThat(apply(new HoldingsListed(ENGINE, holdings))).isEmpty();
        now += ObserveSettings.defaults().maxTimeLimit().toNanos() + 3 * SECOND;
        assertThat(apply(new HoldingsListed(ENGINE, holdings)))
                .contains(new ObserveEffect.DeleteExport(ENGINE, "kv-2"));
    }

    @Example
    void eachTargetIsPolledByTwoHosts() {
        apply(new MembersChanged(Views.view(ImmutableSet.of("a0", "a1", "a2", "a3", "a4", "a5"))));
        ImmutableList.Builder<Target> targets = ImmutableList.builder();
        for (int i = 0; i < 90; i++) {
            targets.add(engine(TargetId.of("engine-" + i), false));
        }
        apply(new TargetsListed(targets.build()));
        effects.clear();
        runFor(1);
        long polled = effects.stream()
                .filter(Poll.class::isInstance)
                .map(effect -> ((Poll) effect).target())
                .distinct()
                .count();
        assertThat(polled).isIn(Range.closed(20L, 40L));
    }
}
