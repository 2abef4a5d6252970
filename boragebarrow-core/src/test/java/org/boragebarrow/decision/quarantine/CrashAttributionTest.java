package org.boragebarrow.decision.quarantine;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.quarantine.CrashAttribution.End;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

class CrashAttributionTest {
    private static final ServiceName SERVICE = ServiceName.of("service");

    private final CrashAttribution attribution = new CrashAttribution();
    private long now;
    private long lastAttempt;

    private static PromptParts parts(String... ids) {
        return PromptParts.of(
                ImmutableList.copyOf(ids).stream().map(PromptPartId::of).collect(ImmutableList.toImmutableList()));
    }

    private static PartKey key(String part) {
        return new PartKey(SERVICE, PromptPartId.of(part));
    }

    private static TargetIncarnation incarnation(String target) {
        return new TargetIncarnation(TargetId.of(target), 1);
    }

    private AttemptId begin(String host, String target, String... parts) {
        AttemptId id = AttemptId.of(HostIncarnation.of(HostId.of(host), IncarnationNumber.of(1)), ++lastAttempt);
        attribution.begin(id, SERVICE, parts(parts), incarnation(target), Duration.ZERO, now);
        return id;
    }

    private void advance(long millis) {
        now += Duration.ofMillis(millis).toNanos();
    }

    private ImmutableList<CrashVerdict> end(AttemptId id, End end) {
        return attribution.end(id, end, now);
    }

    private void answer(String target, String... parts) {
        AttemptId id = begin("host", target, parts);
        attribution.recordFirstEvent(id, now);
        advance(500);
        end(id, End.ANSWERED);
    }

    /** Crashes a target under one request, which a refused connection confirms. */
    private ImmutableList<CrashVerdict> crash(String target, String... parts) {
        AttemptId crashed = begin("host", target, parts);
        advance(200);
        end(crashed, End.DISCONNECTED);
        AttemptId refused = begin("other", target, "99");
        advance(5);
        return end(refused, End.UNREACHABLE);
    }

    private static ImmutableSet<PartKey> convicted(Iterable<CrashVerdict> verdicts) {
        ImmutableSet.Builder<PartKey> keys = ImmutableSet.builder();
        for (CrashVerdict verdict : verdicts) {
            if (verdict instanceof CrashVerdict.Convicted found) {
                keys.add(found.key());
            }
        }
        return keys.build();
    }

    @Example
    void aNewPartInThreeCrashesOfDifferentPromptsIsConvicted() {
        crash("t1", "c", "dead", "1");
        crash("t2", "c", "dead", "2");

        assertThat(convicted(crash("t3", "c", "dead", "3"))).containsExactly(key("dead"));
        assertThat(attribution.findQuarantined(SERVICE, parts("x", "dead", "4")))
                .hasValue(key("dead"));
        assertThat(attribution.findQuarantined(SERVICE, parts("c", "4"))).isEmpty();
    }

    @Example
    void aPartOnWhichAnswersBeganIsNotConvictedWithTheNewOne() {
        answer("t0", "c", "0");
        crash("t1", "dead", "c", "1");
        crash("t2", "dead", "c", "2");

        assertThat(convicted(crash("t3", "dead", "c", "3"))).containsExactly(key("dead"));
    }

    @Example
    void anAnswerThatBeginsClearsItsParts() {
        crash("t1", "c", "1");
        crash("t2", "c", "2");
        answer("t3", "c", "3");
        crash("t4", "c", "4");

        assertThat(convicted(crash("t5", "c", "5"))).isEmpty();
    }

    @Example
    void aKnownPartIsConvictedOnceItNoLongerAnswers() {
        answer("t0", "c", "0");
        for (int i = 1; i <= 4; i++) {
            assertThat(convicted(crash("t" + i, "c", "" + i))).isEmpty();
        }

        assertThat(convicted(crash("t5", "c", "5"))).containsExactly(key("c"));
    }

    @Example
    void theLastPartOfAPromptIsNeverConvicted() {
        for (int i = 0; i < 20; i++) {
            assertThat(convicted(crash("t" + i, "own"))).isEmpty();
        }
    }

    @Example
    void aSinglePromptThatIsSentAgainAndAgainConvictsItsNewPart() {
        crash("t1", "dead", "1");
        crash("t2", "dead", "1");
        assertThat(convicted(crash("t3", "dead", "1"))).isEmpty();

        assertThat(convicted(crash("t4", "dead", "1"))).containsExactly(key("dead"));
    }

    @Example
    void aConnectionThatEndsAloneIsNoCrash() {
        for (int i = 0; i < 10; i++) {
            AttemptId reset = begin("host", "t1", "c", "" + i);
            advance(100);
            assertThat(end(reset, End.DISCONNECTED)).isEmpty();
            AttemptId next = begin("host", "t1", "d", "x" + i);
            advance(400);
            attribution.recordFirstEvent(next, now);
            assertThat(end(next, End.ANSWERED)).isEmpty();
        }
    }

    @Example
    void connectionsOfSeveralHostsThatEndTogetherAreACrash() {
        AttemptId first = begin("host-1", "t1", "c", "1");
        AttemptId second = begin("host-2", "t1", "d", "2");
        end(first, End.DISCONNECTED);
        advance(3);

        assertThat(end(second, End.DISCONNECTED)).containsExactly(new CrashVerdict.TargetCrashed(TargetId.of("t1"), 2));
    }

    @Example
    void targetsThatCrashAtTheSameMomentCountOnce() {
        for (int i = 0; i < 10; i++) {
            AttemptId crashed = begin("host-1", "t" + i, "c", "1" + i);
            AttemptId witness = begin("host-2", "t" + i, "d", "2" + i);
            end(crashed, End.DISCONNECTED);
            assertThat(convicted(end(witness, End.DISCONNECTED))).isEmpty();
        }
    }

    @Example
    void callersThatLeaveAndTargetsThatFallSilentAreNoEvidence() {
        for (int i = 0; i < 10; i++) {
            AttemptId left = begin("host-" + i, "t1", "c", "" + i);
            advance(100);
            assertThat(end(left, End.OTHER)).isEmpty();
        }
    }

    @Example
    void aRequestIsSuspectedAfterTwoCrashesWithItsNewPart() {
        crash("t1", "dead", "1");
        assertThat(attribution.isSuspected(SERVICE, parts("dead", "2"), now)).isFalse();
        crash("t2", "dead", "2");

        assertThat(attribution.isSuspected(SERVICE, parts("dead", "3"), now)).isTrue();
        assertThat(attribution.isSuspected(SERVICE, parts("c", "3"), now)).isFalse();
    }

    @Example
    void aPartWhoseQuarantineWasLiftedIsConvictedSooner() {
        attribution.setQuarantine(ImmutableSet.of(), ImmutableSet.of(key("dead")));
        crash("t1", "dead", "1");

        assertThat(convicted(crash("t2", "dead", "2"))).containsExactly(key("dead"));
    }

    @Example
    void aPartConvictedBeforeTheRealCauseIsExonerated() {
        crash("t1", "dead", "c", "1");
        crash("t2", "dead", "c", "2");
        assertThat(convicted(crash("t3", "dead", "c", "3"))).containsExactly(key("c"));
        crash("t4", "dead", "d", "4");
        crash("t5", "dead", "e", "5");
        ImmutableList<CrashVerdict> verdicts = crash("t6", "dead", "f", "6");

        assertThat(verdicts).contains(new CrashVerdict.Exonerated(key("c"), key("dead")));
        assertThat(attribution.findQuarantined(SERVICE, parts("c", "9"))).isEmpty();
    }

    @Example
    void theSamePartOfAnotherServiceIsAnotherPart() {
        crash("t1", "dead", "1");
        crash("t2", "dead", "2");
        crash("t3", "dead", "3");

        assertThat(attribution.findQuarantined(ServiceName.of("other"), parts("dead", "4")))
                .isEmpty();
    }

    /** Lets a target's only connection end while nothing else is known about it. */
    private TargetIncarnation disconnect(String target, String... parts) {
        AttemptId crashed = begin("host", target, parts);
        advance(200);
        assertThat(end(crashed, End.DISCONNECTED)).isEmpty();
        advance(60);
        return incarnation(target);
    }

    @Example
    void aRefusedConnectionConfirmsTheCrashOfATargetWithOneConnection() {
        attribution.recordRefusedConnection(disconnect("t1", "c", "dead", "1"), now);
        attribution.recordRefusedConnection(disconnect("t2", "d", "dead", "2"), now);

        assertThat(convicted(attribution.recordRefusedConnection(disconnect("t3", "e", "dead", "3"), now)))
                .containsExactly(key("dead"));
    }

    @Example
    void theEndOfTheEntryConfirmsTheCrashOfATargetWithOneConnection() {
        for (int i = 1; i <= 2; i++) {
            TargetIncarnation target = disconnect("t" + i, "c", "dead", "" + i);
            advance(3_000);
            attribution.recordEntryEnded(target, now);
        }
        TargetIncarnation target = disconnect("t3", "c", "dead", "3");
        advance(3_000);

        assertThat(convicted(attribution.recordEntryEnded(target, now))).containsExactly(key("dead"));
    }

    @Example
    void theEndOfAnEntryThatIsReportedBeforeTheEndOfItsConnectionConfirmsTheCrash() {
        AttemptId crashed = begin("host", "t1", "c", "1");
        advance(200);
        attribution.recordEntryEnded(incarnation("t1"), now);
        advance(2_000);

        assertThat(end(crashed, End.DISCONNECTED))
                .containsExactly(new CrashVerdict.TargetCrashed(TargetId.of("t1"), 1));
    }

    @Example
    void anEntryThatEndsLongAfterAConnectionIsNoEvidence() {
        TargetIncarnation target = disconnect("t1", "c", "1");
        advance(20_000);

        assertThat(attribution.recordEntryEnded(target, now)).isEmpty();
    }

    /** Guards against crashes that are forgotten because the target, which kept its id, answers again. */
    @Example
    void aTargetThatStartedAgainUnderItsIdDoesNotRefuteItsCrash() {
        for (int i = 1; i <= 3; i++) {
            TargetIncarnation target = disconnect("t" + i, "c", "dead", "" + i);
            advance(3_000);
            AttemptId afterRestart = begin("host", "t" + i, "other", "9" + i);
            attribution.recordFirstEvent(afterRestart, now);
            advance(500);
            end(afterRestart, End.ANSWERED);
            ImmutableList<CrashVerdict> verdicts = attribution.recordEntryEnded(target, now);
            assertThat(convicted(verdicts)).isEqualTo(i < 3 ? ImmutableSet.of() : ImmutableSet.of(key("dead")));
        }
    }

    @Example
    void aTargetThatAnswersRightAfterItRefusedAConnectionHasNotCrashed() {
        for (int i = 1; i <= 10; i++) {
            AttemptId answering = begin("host", "t1", "sound", "9" + i);
            attribution.recordRefusedConnection(disconnect("t1", "c", "" + i), now);
            advance(300);
            attribution.recordFirstEvent(answering, now);
            advance(200);
            end(answering, End.ANSWERED);
        }
        assertThat(attribution.isSuspected(SERVICE, parts("c", "99"), now)).isFalse();
    }

    /** Guards against a part that comes a few times a day and is never found. */
    @Example
    void crashesHoursApartConvictAPart() {
        crash("t1", "c", "dead", "1");
        advance(Duration.ofHours(5).toMillis());
        crash("t2", "d", "dead", "2");
        advance(Duration.ofHours(5).toMillis());

        assertThat(convicted(crash("t3", "e", "dead", "3"))).containsExactly(key("dead"));
    }

    /** Guards against a sound part that is convicted because three targets happened to crash while they read it. */
    @Example
    void crashesBeforeTheTargetCanHaveBegunToAnswerNeedMoreEvidence() {
        for (int i = 1; i <= 7; i++) {
            AttemptId crashed = beginReading("t" + i, Duration.ofSeconds(1), "c", "long", "" + i);
            advance(500);
            end(crashed, End.DISCONNECTED);
            assertThat(convicted(attribution.recordRefusedConnection(incarnation("t" + i), now)))
                    .isEmpty();
        }
        AttemptId crashed = beginReading("t8", Duration.ofSeconds(1), "long", "8");
        advance(5);
        end(crashed, End.DISCONNECTED);
        assertThat(convicted(attribution.recordRefusedConnection(incarnation("t8"), now)))
                .isEmpty();
    }

    @Example
    void aPartThatCrashesTargetsWhileTheyReadItIsFoundInTheEnd() {
        for (int i = 1; i <= 8; i++) {
            AttemptId crashed = beginReading("t" + i, Duration.ofSeconds(1), "c" + i, "dead", "" + i);
            advance(20);
            end(crashed, End.DISCONNECTED);
            boolean last = i == 8;
            assertThat(convicted(attribution.recordRefusedConnection(incarnation("t" + i), now)))
                    .isEqualTo(last ? ImmutableSet.of(key("dead")) : ImmutableSet.of());
            advance(1_000);
        }
    }

    private AttemptId beginReading(String target, Duration reading, String... parts) {
        AttemptId id = AttemptId.of(HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1)), ++lastAttempt);
        attribution.begin(id, SERVICE, parts(parts), incarnation(target), reading, now);
        return id;
    }

    @Example
    void moreCrashesAreNeededWhereManyOthersHappen() {
        attribution.setTargetCounts(ImmutableMap.of(SERVICE, 4));
        for (int i = 0; i < 60; i++) {
            crash("u" + i, "other" + i, "1");
        }
        for (int i = 1; i <= 3; i++) {
            assertThat(convicted(crash("t" + i, "rare", "" + i))).isEmpty();
        }
    }

    @Example
    void theProbabilityOfACoincidenceIsThatOfAPoissonProcess() {
        assertThat(Coincidence.probability(0, 0.1)).isEqualTo(1);
        assertThat(Coincidence.probability(1, 5)).isEqualTo(1);
        assertThat(Coincidence.probability(2, 0.1)).isWithin(1e-12).of(0.005);
        assertThat(Coincidence.probability(256, 1e-3)).isAtLeast(0.0);
    }

    @Example
    void endlessNewPartsAreBounded() {
        for (int i = 0; i < 30_000; i++) {
            answer("t0", "c" + i, "1");
        }
        for (int i = 0; i < 1_000; i++) {
            assertThat(convicted(crash("t" + i, "d" + i, "1"))).isEmpty();
        }
    }
}
