package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.truth.Truth.assertThat;

class AssignerTest {
    private static final ServiceName MODEL = ServiceName.of("model");
    private static final ServiceName PLAIN = ServiceName.of("plain");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final HostIncarnation OTHER_HOST = HostIncarnation.of(HostId.of("other"), IncarnationNumber.of(1));
    private static final int SLOTS = 2;

    private final Assigner assigner = new Assigner();
    private final List<FleetTarget> targets = new ArrayList<>();
    private long counter;
    private long refusedKey;

    private FleetTarget target(ServiceName service, String id, String zone, boolean draining) {
        return new FleetTarget(
                TargetId.of(id),
                service,
                Endpoint.of("10.0.0." + (targets.size() + 1), 80),
                AvailabilityZoneId.of(zone),
                service.equals(MODEL) ? SimulatedLoad.ENGINE.slots() : SLOTS,
                draining,
                1);
    }

    private void fleet(ServiceName service, String... ids) {
        targets.clear();
        for (String id : ids) {
            targets.add(target(service, id, "zone", false));
        }
        assigner.apply(new AssignEvent.ProfilesChanged(ImmutableMap.of(MODEL, SimulatedLoad.ENGINE)), 0);
        assigner.apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)), 0);
    }

    private Work plain(HostIncarnation host, TargetId... excluded) {
        return new Work(
                AttemptId.of(host, ++counter),
                PLAIN,
                AvailabilityZoneId.of("zone"),
                Optional.empty(),
                Duration.ofMillis(300),
                Optional.empty(),
                Duration.ZERO,
                Duration.ofSeconds(2),
                ImmutableSet.copyOf(excluded),
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT);
    }

    private Work prompt(long tokens, int objectiveMillis, int pauseMillis) {
        return new Work(
                AttemptId.of(HOST, ++counter),
                MODEL,
                AvailabilityZoneId.of("zone"),
                Optional.of(new PromptSize(tokens, 700)),
                Duration.ofMillis(objectiveMillis),
                Optional.of(Duration.ofMillis(pauseMillis)),
                Duration.ZERO,
                Duration.ofSeconds(15),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT);
    }

    private ImmutableList<AssignEffect> submit(Work work) {
        return assigner.apply(new AssignEvent.Submitted(work), 0);
    }

    private Assignment assigned(Work work) {
        AssignEffect effect = submit(work).get(0);
        assertThat(effect).isInstanceOf(AssignEffect.Assigned.class);
        return ((AssignEffect.Assigned) effect).assignment();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Example
    void workGoesToTheTargetWithMostFreeSlots() {
        fleet(PLAIN, "a", "b");
        TargetId first = assigned(plain(HOST)).target().id();
        TargetId second = assigned(plain(HOST)).target().id();

        assertThat(first).isNotEqualTo(second);
    }

    /** Guards against hosts that take a target for unresponsive while it prefills a part that was assigned to it. */
    @Example
    void theHostOfAnAnswerIsToldOfThePauseThatAPrefillAtItsTargetCauses() {
        fleet(MODEL, "a");
        Work answered = prompt(1_000, 300, 250);
        assigned(answered);
        assigner.apply(new AssignEvent.FirstEventSeen(answered.id()), millis(50));
        Work urgent = prompt(60_000, 3_000, 1_000).withElapsed(Duration.ofMillis(2_400));
        ImmutableList<AssignEffect> effects = assigner.apply(new AssignEvent.Submitted(urgent), millis(60));

        assertThat(effects.get(0)).isInstanceOf(AssignEffect.Assigned.class);
        AssignEffect.PauseExpected expected = (AssignEffect.PauseExpected) effects.get(1);
        assertThat(expected.id()).isEqualTo(answered.id());
        assertThat(expected.pause()).isGreaterThan(Duration.ofMillis(250));
        assertThat(effects).hasSize(2);
    }

    @Example
    void noPauseIsAnnouncedThatIsWithinItsObjective() {
        fleet(MODEL, "a");
        Work answered = prompt(1_000, 300, 250);
        assigned(answered);
        assigner.apply(new AssignEvent.FirstEventSeen(answered.id()), millis(50));

        assertThat(assigner.apply(new AssignEvent.Submitted(prompt(5_000, 300, 250)), millis(60)))
                .hasSize(1);
    }

    @Example
    void aQueuedPromptThatFitsIsServedAlthoughALargerOneBeforeItDoesNot() {
        fleet(MODEL, "a");
        Work ending = prompt(2_000, 300, 250);
        assigned(ending);
        Work decoding = prompt(360_000, 10_000, 1_000);
        assigned(decoding);
        assigner.apply(new AssignEvent.FirstEventSeen(decoding.id()), 0);
        Work larger = prompt(12_000, 1_000, 250);
        Work smaller = prompt(2_000, 1_000, 250);
        assertThat(submit(larger)).containsExactly(new AssignEffect.Queued(larger.id()));
        assertThat(submit(smaller)).containsExactly(new AssignEffect.Queued(smaller.id()));
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(ending.id(), Outcome.SUCCEEDED), millis(100));

        assertThat(effects).hasSize(1);
        assertThat(effects.get(0)).isInstanceOf(AssignEffect.Assigned.class);
        assertThat(((AssignEffect.Assigned) effects.get(0)).id()).isEqualTo(smaller.id());
    }

    /** Guards against long prompts that all fail when any one of the zones is cut off. */
    @Example
    void theHelpersOfALongPromptAreInItsZoneWhileThatHasEnoughIdleTargets() {
        fleet(MODEL, "a");
        targets.clear();
        for (int i = 0; i < 20; i++) {
            targets.add(target(MODEL, "far-" + i, "other", false));
            targets.add(target(MODEL, "near-" + i, "zone", false));
        }
        assigner.apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)), 0);
        Assignment assignment = assigned(prompt(200_000, 3_000, 1_000));

        assertThat(assignment.helpers().size()).isAtLeast(5);
        for (HelperTarget helper : assignment.helpers()) {
            assertThat(helper.target().zone()).isEqualTo(AvailabilityZoneId.of("zone"));
        }
    }

    /** Guards against numbers of parts that are left out although only they hold the prompt. */
    @Example
    void aPromptThatNeedsAllOfSevenTargetsIsAssigned() {
        fleet(MODEL, "a", "b", "c", "d", "e", "f", "g");
        Work withAnHourLeft = prompt(2_300_000, 100_000, 100_000).withElapsed(Duration.ofHours(-1));

        assertThat(assigned(withAnHourLeft).helpers()).hasSize(6);
    }

    /** Guards against a clock whose readings are negative, as those of the system may be. */
    @Example
    void aQueuedLongPromptIsAssignedAtNegativeTimes() {
        fleet(MODEL, "a");
        Work answered = prompt(1_000, 300, 250);
        assigner.apply(new AssignEvent.Submitted(answered), millis(-9_000));
        assigner.apply(new AssignEvent.FirstEventSeen(answered.id()), millis(-8_950));
        Work longPrompt = prompt(60_000, 3_000, 1_000);
        assigner.apply(new AssignEvent.Submitted(longPrompt), millis(-8_940));
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(answered.id(), Outcome.SUCCEEDED), millis(-8_500));

        assertThat(effects).hasSize(1);
        assertThat(effects.get(0)).isInstanceOf(AssignEffect.Assigned.class);
    }

    @Example
    void shortPromptsShareATarget() {
        fleet(MODEL, "a", "b");
        TargetId first = assigned(prompt(2_000, 300, 250)).target().id();

        assertThat(assigned(prompt(2_000, 300, 250)).target().id()).isEqualTo(first);
    }

    /** Guards against a long prompt that is on time at the expense of answers, although it could wait for their end. */
    @Example
    void aLongPromptWaitsRatherThanInterruptAnswers() {
        fleet(MODEL, "a");
        Work answered = prompt(1_000, 300, 250);
        assigned(answered);
        assigner.apply(new AssignEvent.FirstEventSeen(answered.id()), millis(50));
        Work longPrompt = prompt(60_000, 3_000, 1_000);
        ImmutableList<AssignEffect> first = assigner.apply(new AssignEvent.Submitted(longPrompt), millis(60));
        ImmutableList<AssignEffect> second =
                assigner.apply(new AssignEvent.Ended(answered.id(), Outcome.SUCCEEDED), millis(500));

        assertThat(first).containsExactly(new AssignEffect.Queued(longPrompt.id()));
        assertThat(second.get(0)).isInstanceOf(AssignEffect.Assigned.class);
    }

    @Example
    void aDrainingTargetGetsNoWork() {
        fleet(PLAIN, "a", "b");
        targets.set(0, target(PLAIN, "a", "zone", true));
        assigner.apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)), 0);

        for (int i = 0; i < SLOTS; i++) {
            assertThat(assigned(plain(HOST)).target().id()).isEqualTo(TargetId.of("b"));
        }
    }

    @Example
    void anExcludedTargetGetsNoWork() {
        fleet(PLAIN, "a", "b");

        assertThat(assigned(plain(HOST, TargetId.of("a"))).target().id()).isEqualTo(TargetId.of("b"));
    }

    @Example
    void withoutAnyTargetWorkIsRefusedAtOnce() {
        fleet(PLAIN);
        AssignEffect effect = submit(plain(HOST)).get(0);

        assertThat(((AssignEffect.Refused) effect).reason()).isEqualTo(RefusalReason.NO_TARGET);
    }

    @Example
    void workWaitsForASlotAndGetsTheFirstThatIsFreed() {
        fleet(PLAIN, "a");
        Work first = plain(HOST);
        submit(first);
        submit(plain(HOST));
        Work third = plain(HOST);

        assertThat(submit(third)).containsExactly(new AssignEffect.Queued(third.id()));
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(first.id(), Outcome.SUCCEEDED), millis(50));
        assertThat(effects).hasSize(1);
        assertThat(effects.get(0)).isInstanceOf(AssignEffect.Assigned.class);
        assertThat(((AssignEffect.ForAttempt) effects.get(0)).id()).isEqualTo(third.id());
    }

    @Example
    void noMoreWorkWaitsThanCanBeAnsweredWithinItsLimit() {
        fleet(PLAIN, "a");
        List<AssignEffect> effects = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            effects.add(submit(plain(HOST)).get(0));
        }
        long queued =
                effects.stream().filter(AssignEffect.Queued.class::isInstance).count();

        // Two slots, in which an answer is expected to take as long as its objective, and two seconds of time.
        assertThat(queued).isAtMost(SLOTS * (2_000 - 300) / 300);
        assertThat(queued).isAtLeast(SLOTS);
        AssignEffect.Refused last = (AssignEffect.Refused) effects.get(39);
        assertThat(last.reason()).isEqualTo(RefusalReason.OVERLOADED);
        assertThat(last.retryAfter()).isAtMost(Duration.ofMillis(2_000 / 3));
    }

    /** Guards against a service that is taken for slow because nothing ended while it was idle. */
    @Example
    void workIsQueuedWhenTheTargetsFillUpAfterALongIdleTime() {
        fleet(PLAIN, "a");
        Work first = plain(HOST);
        submit(first);
        assigner.apply(new AssignEvent.Ended(first.id(), Outcome.SUCCEEDED), millis(50));
        long later = millis(600_000);
        for (int i = 0; i < SLOTS; i++) {
            assigner.apply(new AssignEvent.Submitted(plain(HOST)), later);
        }
        Work next = plain(HOST);

        assertThat(assigner.apply(new AssignEvent.Submitted(next), later))
                .containsExactly(new AssignEffect.Queued(next.id()));
    }

    private Work ranked(int rank, long key) {
        return plain(HOST)
                .withTerms(new WorkTerms(
                        Optional.of(OrganisationId.of("o")),
                        1,
                        UrgencyRank.of(rank),
                        Optional.empty(),
                        WorkTerms.Purpose.FIRST,
                        key));
    }

    /** Fills the slots and the queue with work of a rank; returns the refusal of the first that is not queued. */
    private AssignEffect.Refused fillQueue(int rank) {
        for (long key = 1; key < 100; key++) {
            if (submit(ranked(rank, key)).get(0) instanceof AssignEffect.Refused refused) {
                refusedKey = key;
                return refused;
            }
        }
        throw new AssertionError("all work was queued");
    }

    /** Load pattern: less urgent work fills the queue, then more urgent work arrives. */
    @Example
    void moreUrgentWorkDisplacesWhatWaitsLongest() {
        fleet(PLAIN, "a");
        fillQueue(9);
        List<AssignEffect> effects = new ArrayList<>();
        Work urgent = ranked(0, 0);
        effects.addAll(submit(urgent));
        for (int i = 1; i <= 5; i++) {
            effects.addAll(assigner.apply(new AssignEvent.Submitted(ranked(0, 0)), millis(10 * i)));
        }

        assertThat(effects.get(0)).isEqualTo(new AssignEffect.Queued(urgent.id()));
        List<AssignEffect.Refused> refused = effects.stream()
                .filter(AssignEffect.Refused.class::isInstance)
                .map(AssignEffect.Refused.class::cast)
                .toList();
        assertThat(refused).isNotEmpty();
        assertThat(refused.get(0).reason()).isEqualTo(RefusalReason.DISPLACED);
        assertThat(assigner.apply(new AssignEvent.Ended(refused.get(0).id(), Outcome.WITHDRAWN), 0))
                .isEmpty();
    }

    @Example
    void aCallerThatReturnsAtItsPlaceGoesBeforeNewWorkOfItsRank() {
        fleet(PLAIN, "a");
        for (int i = 0; i < 20; i++) {
            Work answered = ranked(5, 0);
            assigner.apply(new AssignEvent.Submitted(answered), millis(50 * i - 1_000));
            assigner.apply(new AssignEvent.Ended(answered.id(), Outcome.SUCCEEDED), millis(50 * i - 950));
        }
        Work running = ranked(5, 0);
        submit(running);
        AssignEffect.Refused refused = fillQueue(5);
        long later = refused.retryAfter().toNanos();
        assigner.apply(new AssignEvent.Submitted(ranked(5, 0)), later - 1);
        Work returning = ranked(5, refusedKey);
        assertThat(assigner.apply(new AssignEvent.Submitted(returning), later))
                .contains(new AssignEffect.Queued(returning.id()));
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(running.id(), Outcome.SUCCEEDED), later + 1);

        assertThat(((AssignEffect.Assigned) effects.get(0)).id()).isEqualTo(returning.id());
    }

    /** Load pattern: less urgent work fills the targets a moment before the demand of the more urgent work returns. */
    @Example
    void roomIsKeptForMoreUrgentWorkThatArrivesNowAndForNoOther() {
        fleet(PLAIN, "a", "b");
        for (int i = 0; i < 20; i++) {
            Work urgent = ranked(0, 0);
            assigner.apply(new AssignEvent.Submitted(urgent), millis(50 * i));
            assigner.apply(new AssignEvent.Ended(urgent.id(), Outcome.SUCCEEDED), millis(50 * i + 100));
        }
        long now = millis(1_060);
        int assigned = 0;
        for (int i = 0; i < 2 * SLOTS; i++) {
            AssignEffect effect =
                    assigner.apply(new AssignEvent.Submitted(ranked(9, 0)), now).get(0);
            assigned += effect instanceof AssignEffect.Assigned ? 1 : 0;
        }
        assertThat(assigned).isEqualTo(2 * SLOTS - 1);
        Work urgent = ranked(0, 0);
        assertThat(assigner.apply(new AssignEvent.Submitted(urgent), now).get(0))
                .isInstanceOf(AssignEffect.Assigned.class);
        assertThat(assigner.apply(new AssignEvent.Ended(urgent.id(), Outcome.SUCCEEDED), millis(1_100)))
                .isEmpty();
        ImmutableList<AssignEffect> later = assigner.apply(new AssignEvent.Ticked(), millis(2_200));

        assertThat(later.get(0)).isInstanceOf(AssignEffect.Assigned.class);
    }

    /** Guards against an assigner that takes over and knows neither queue nor book: hosts submit their work again. */
    @Example
    void aNewAssignerQueuesAgainWhatTheFormerOneHadQueuedAndAdmitsItsCallers() {
        fleet(PLAIN, "a");
        AssignEffect.Refused refused = fillQueue(5);
        Assigner next = new Assigner();
        next.apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)), 0);
        for (int i = 0; i < SLOTS; i++) {
            next.apply(new AssignEvent.AssignmentReported(ranked(5, 0), TargetId.of("a"), ImmutableList.of(), true), 0);
        }
        Work queued = ranked(5, 0);
        assertThat(next.apply(new AssignEvent.Submitted(queued), 0)).contains(new AssignEffect.Queued(queued.id()));
        Work returning = ranked(5, 1);

        assertThat(next.apply(
                        new AssignEvent.Submitted(returning),
                        refused.retryAfter().toNanos()))
                .contains(new AssignEffect.Queued(returning.id()));
    }

    /** Guards against ranks that change while work waits: it keeps the rank with which it was submitted. */
    @Example
    void workThatWaitsKeepsItsRankWhenAVersionChangesIt() {
        fleet(PLAIN, "a");
        Work running = ranked(5, 0);
        submit(running);
        submit(ranked(5, 0));
        Work before = ranked(2, 0);
        submit(before);
        Work after = ranked(4, 0);
        submit(after);
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(running.id(), Outcome.SUCCEEDED), millis(10));

        assertThat(((AssignEffect.Assigned) effects.get(0)).id()).isEqualTo(before.id());
    }

    @Example
    void withdrawnWorkIsNeverAssigned() {
        fleet(PLAIN, "a");
        Work first = plain(HOST);
        submit(first);
        submit(plain(HOST));
        Work third = plain(HOST);
        submit(third);
        assigner.apply(new AssignEvent.Ended(third.id(), Outcome.WITHDRAWN), 0);

        assertThat(assigner.apply(new AssignEvent.Ended(first.id(), Outcome.SUCCEEDED), 0))
                .isEmpty();
    }

    @Example
    void theSlotsOfALostHostAreReleased() {
        fleet(PLAIN, "a");
        submit(plain(OTHER_HOST));
        submit(plain(OTHER_HOST));
        Work queued = plain(HOST);
        submit(queued);

        ImmutableList<AssignEffect> effects = assigner.apply(new AssignEvent.HostLost(OTHER_HOST.host()), 0);
        assertThat(((AssignEffect.ForAttempt) effects.get(0)).id()).isEqualTo(queued.id());
        assertThat(assigner.assignedCount()).isEqualTo(1);
    }

    @Example
    void anAttemptWithoutAnEndEventExpiresAfterItsLimit() {
        fleet(PLAIN, "a");
        submit(plain(OTHER_HOST));
        submit(plain(OTHER_HOST));

        Work later = plain(HOST);
        AssignEffect effect =
                assigner.apply(new AssignEvent.Submitted(later), millis(3_500)).get(0);
        assertThat(effect).isInstanceOf(AssignEffect.Assigned.class);
    }

    @Example
    void aNewAssignerCountsAssignmentsThatHostsReport() {
        fleet(PLAIN, "a");
        for (int i = 0; i < SLOTS; i++) {
            assigner.apply(
                    new AssignEvent.AssignmentReported(plain(HOST), TargetId.of("a"), ImmutableList.of(), true), 0);
        }
        Work next = plain(HOST);

        assertThat(submit(next)).containsExactly(new AssignEffect.Queued(next.id()));
    }

    @Example
    void anUnreachableTargetGetsNoWorkForASecond() {
        fleet(PLAIN, "a", "b");
        Work first = plain(HOST, TargetId.of("b"));
        submit(first);
        assigner.apply(new AssignEvent.Ended(first.id(), Outcome.UNREACHABLE), 0);

        for (int i = 0; i < SLOTS; i++) {
            assertThat(assigned(plain(HOST)).target().id()).isEqualTo(TargetId.of("b"));
        }
    }

    @Example
    void oneTimeoutDoesNotEjectATarget() {
        fleet(PLAIN, "a");
        Work first = plain(HOST);
        submit(first);
        assigner.apply(new AssignEvent.Ended(first.id(), Outcome.SILENT), 0);
        submit(plain(HOST));

        assertThat(assigned(plain(HOST)).target().id()).isEqualTo(TargetId.of("a"));
    }

    @Example
    void anEjectedTargetIsProbedWithSingleRequests() {
        fleet(PLAIN, "a", "b");
        for (int i = 0; i < 4; i++) {
            Work failing = plain(HOST, TargetId.of("b"));
            submit(failing);
            assigner.apply(new AssignEvent.Ended(failing.id(), Outcome.FAILED), 0);
        }
        assertThat(assigned(plain(HOST)).target().id()).isEqualTo(TargetId.of("b"));
        assertThat(assigned(plain(HOST)).target().id()).isEqualTo(TargetId.of("b"));
        Work probe = plain(HOST);
        Work second = plain(HOST);
        long later = millis(1_100);

        AssignEffect probing =
                assigner.apply(new AssignEvent.Submitted(probe), later).get(0);
        assertThat(((AssignEffect.Assigned) probing).assignment().target().id()).isEqualTo(TargetId.of("a"));
        assertThat(assigner.apply(new AssignEvent.Submitted(second), later))
                .containsExactly(new AssignEffect.Queued(second.id()));
    }

    @Example
    void aLongPromptIsSplitOverEnoughEnginesToMeetItsObjective() {
        fleet(MODEL, "a", "b", "c", "d", "e", "f", "g", "h");
        Assignment assignment = assigned(prompt(182_000, 3_000, 1_000));

        assertThat(assignment.helpers()).isNotEmpty();
        assertThat(assignment.predictedTimeToFirstEvent()).isLessThan(Duration.ofMillis(3_000));
    }

    @Example
    void aShortPromptIsPrefilledByOneEngine() {
        fleet(MODEL, "a", "b", "c");

        assertThat(assigned(prompt(5_000, 300, 250)).helpers()).isEmpty();
    }

    @Example
    void aPromptLargerThanAnEngineIsStoredOnSeveral() {
        fleet(MODEL, "a", "b", "c", "d", "e", "f", "g", "h");
        for (long tokens : new long[] {370_001, 500_003, 900_007}) {
            Work work = prompt(tokens, 3_000, 1_000);
            Assignment assignment = assigned(work);
            long stored = assignment.helpers().stream()
                    .mapToLong(HelperTarget::storedTokens)
                    .sum();

            assertThat(tokens + 700 - stored).isAtMost(SimulatedLoad.ENGINE.memoryTokens());
            for (HelperTarget helper : assignment.helpers()) {
                assertThat(helper.storedTokens()).isAtMost(SimulatedLoad.ENGINE.memoryTokens());
            }
            assigner.apply(new AssignEvent.Ended(work.id(), Outcome.SUCCEEDED), 0);
        }
    }

    @Example
    void aPromptLargerThanAllEnginesTogetherIsRefusedAtOnce() {
        fleet(MODEL, "a", "b");
        AssignEffect effect = submit(prompt(900_000, 3_000, 1_000)).get(0);

        assertThat(((AssignEffect.Refused) effect).reason()).isEqualTo(RefusalReason.TOO_LARGE);
    }

    @Example
    void engineMemoryIsNeverOvercommitted() {
        fleet(MODEL, "a", "b");
        long plannedTokens = 0;
        for (int i = 0; i < 12; i++) {
            Work work = prompt(90_000, 60_000, 10_000);
            if (submit(work).get(0) instanceof AssignEffect.Assigned) {
                plannedTokens += 90_700;
            }
        }

        assertThat(plannedTokens).isAtMost(2 * SimulatedLoad.ENGINE.memoryTokens());
    }

    @Example
    void workThatCanBeOnTimeIsAssignedBeforeLateWork() {
        fleet(PLAIN, "a");
        Work running = plain(HOST);
        submit(running);
        submit(plain(HOST));
        Work late = plain(HOST);
        submit(late);
        Work fresh = plain(HOST);
        assigner.apply(new AssignEvent.Submitted(fresh), millis(400));
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(running.id(), Outcome.SUCCEEDED), millis(410));

        assertThat(((AssignEffect.ForAttempt) effects.get(0)).id()).isEqualTo(fresh.id());
    }

    @Example
    void workNearItsAbandonmentTimeIsAssignedFirst() {
        fleet(PLAIN, "a");
        Work running = plain(HOST);
        submit(running);
        submit(plain(HOST));
        Work old = plain(HOST);
        submit(old);
        Work fresh = plain(HOST);
        assigner.apply(new AssignEvent.Submitted(fresh), millis(1_300));
        ImmutableList<AssignEffect> effects =
                assigner.apply(new AssignEvent.Ended(running.id(), Outcome.SUCCEEDED), millis(1_310));

        assertThat(((AssignEffect.ForAttempt) effects.get(0)).id()).isEqualTo(old.id());
    }

    @Example
    void anUnreachableZoneFailsTwoRequestsAndThenOneProbePerSecond() {
        targets.clear();
        for (int i = 0; i < 5; i++) {
            targets.add(target(PLAIN, "far-" + i, "far", false));
        }
        targets.add(target(PLAIN, "near", "zone", false));
        assigner.apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)), 0);
        // Half of the slots of the near target are in use, so that far targets have a lower cost.
        submit(plain(HOST));
        int failed = 0;
        for (long now = 0; now < 1_900; now += 20) {
            Work work = plain(HOST);
            AssignEffect effect =
                    assigner.apply(new AssignEvent.Submitted(work), millis(now)).get(0);
            TargetId chosen =
                    ((AssignEffect.Assigned) effect).assignment().target().id();
            boolean near = chosen.equals(TargetId.of("near"));
            failed += near ? 0 : 1;
            Outcome outcome = near ? Outcome.WITHDRAWN : Outcome.UNREACHABLE;
            assigner.apply(new AssignEvent.Ended(work.id(), outcome), millis(now + 1));
        }

        assertThat(failed).isAtMost(2 + 1);
    }

    @Example
    void aRecoveredZoneIsUsedWithinASecond() {
        ZoneReachability reachability = new ZoneReachability();
        AvailabilityZoneId near = AvailabilityZoneId.of("zone");
        AvailabilityZoneId far = AvailabilityZoneId.of("far");
        reachability.record(near, far, Outcome.UNREACHABLE, 0);
        assertThat(reachability.allows(near, far, 0)).isTrue();
        reachability.record(near, far, Outcome.SILENT, 0);
        assertThat(reachability.allows(near, far, 0)).isFalse();
        assertThat(reachability.allows(far, near, 0)).isTrue();
        assertThat(reachability.allows(near, far, millis(1_000))).isTrue();
        reachability.record(near, far, Outcome.SUCCEEDED, millis(1_010));

        assertThat(reachability.allows(near, far, millis(1_011))).isTrue();
    }

    @Example
    void aRepeatedRequestOccupiesOneSlot() {
        fleet(PLAIN, "a", "b");
        Work work = plain(HOST);
        submit(work);
        submit(work);
        assertThat(assigner.assignedCount()).isEqualTo(1);
        assigner.apply(new AssignEvent.Ended(work.id(), Outcome.SUCCEEDED), 0);

        for (int i = 0; i < 2 * SLOTS; i++) {
            assertThat(submit(plain(HOST)).get(0)).isInstanceOf(AssignEffect.Assigned.class);
        }
    }

    /** Returns the helpers of an assignment; none while the work is queued. */
    private static ImmutableSet<TargetId> helpersOf(ImmutableList<AssignEffect> effects) {
        return effects.stream()
                .flatMap(effect -> effect instanceof AssignEffect.Assigned assigned
                        ? assigned.assignment().helpers().stream()
                        : Stream.of())
                .map(helper -> helper.target().id())
                .collect(ImmutableSet.toImmutableSet());
    }

    @Example
    void aTargetGetsNoSecondHelperPartBeforeTheFirstFinishes() {
        fleet(MODEL, "a", "b", "c", "d", "e", "f", "g", "h");
        Work first = prompt(259_000, 3_000, 1_000);
        ImmutableSet<TargetId> busy = helpersOf(submit(first));
        assertThat(busy).isNotEmpty();
        // The prediction has no prefill left, but a newer part would be prefilled before any actual remainder.
        long later = millis(2_500);
        Work next = prompt(224_000, 3_000, 1_000);
        ImmutableSet<TargetId> helpers = helpersOf(assigner.apply(new AssignEvent.Submitted(next), later));

        assertThat(Sets.intersection(helpers, busy)).isEmpty();
    }

    @Example
    void aTargetCanHelpAgainAfterThePreviousPromptIsAnswered() {
        fleet(MODEL, "a", "b", "c", "d", "e", "f", "g", "h");
        Work first = prompt(259_000, 3_000, 1_000);
        ImmutableSet<TargetId> busy = helpersOf(submit(first));
        assigner.apply(new AssignEvent.FirstEventSeen(first.id()), millis(2_500));
        assigner.apply(new AssignEvent.Ended(first.id(), Outcome.SUCCEEDED), millis(3_000));
        Work next = prompt(259_000, 3_000, 1_000);
        ImmutableSet<TargetId> helpers = helpersOf(assigner.apply(new AssignEvent.Submitted(next), millis(3_000)));

        assertThat(busy).isNotEmpty();
        assertThat(helpers).hasSize(busy.size());
    }
}
