package org.boragebarrow.peer.wire;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.UrgencyRank;
import org.boragebarrow.peer.proto.TargetQuiet;

import static com.google.common.truth.Truth.assertThat;

class AssignMessagesTest {
    private static final AttemptId ID =
            AttemptId.of(HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(3)), 17);

    private static Work work(Optional<PromptSize> size, Optional<Duration> pauseObjective) {
        return new Work(
                ID,
                ServiceName.of("service"),
                AvailabilityZoneId.of("zone"),
                size,
                Duration.ofMillis(300),
                pauseObjective,
                Duration.ofMillis(12),
                Duration.ofMillis(9_000),
                ImmutableSet.of(TargetId.of("a"), TargetId.of("b")),
                PromptParts.of(ImmutableList.of(PromptPartId.of("a1"), PromptPartId.of("b2"), PromptPartId.of("c3"))),
                2,
                WorkTerms.DEFAULT);
    }

    private static Work work(WorkTerms terms) {
        Work work = work(Optional.empty(), Optional.empty());
        return new Work(
                work.id(),
                work.service(),
                work.zone(),
                work.size(),
                work.objective(),
                work.pauseObjective(),
                work.age(),
                work.remaining(),
                work.excluded(),
                work.parts(),
                work.crashes(),
                terms);
    }

    private static FleetTarget target(String id) {
        return new FleetTarget(
                TargetId.of(id),
                ServiceName.of("service"),
                Endpoint.of("10.0.0.1", 80),
                AvailabilityZoneId.of("zone"),
                4,
                false,
                1);
    }

    @Example
    void workIsUnchangedAfterEncodingAndDecoding() {
        Work sized = work(Optional.of(new PromptSize(1_000, 20)), Optional.of(Duration.ofMillis(250)));
        Work unsized = work(Optional.empty(), Optional.empty());

        assertThat(AssignMessages.fromWork(
                        AssignMessages.assignmentRequest(sized).getAskTarget().getWork()))
                .isEqualTo(sized);
        assertThat(AssignMessages.fromWork(
                        AssignMessages.assignmentRequest(unsized).getAskTarget().getWork()))
                .isEqualTo(unsized);
    }

    @Example
    void termsAreUnchangedAfterEncodingAndDecoding() {
        Optional<OrganisationId> organisation = Optional.of(OrganisationId.of("organisation"));
        Work withHomes = work(new WorkTerms(
                        organisation,
                        2.5,
                        UrgencyRank.MOST_URGENT,
                        Optional.of(ImmutableSet.of(RegionId.of("region"))),
                        WorkTerms.Purpose.REPEAT,
                        -17)
                .withClosedZones(ImmutableSet.of(AvailabilityZoneId.of("closed")))
                .withDuplicable(true));
        Work withoutAnyHome = work(new WorkTerms(
                organisation, 1, UrgencyRank.DEFAULT, Optional.of(ImmutableSet.of()), WorkTerms.Purpose.FIRST, 0));

        assertThat(AssignMessages.fromWork(AssignMessages.assignmentRequest(withHomes)
                        .getAskTarget()
                        .getWork()))
                .isEqualTo(withHomes);
        assertThat(AssignMessages.fromWork(AssignMessages.assignmentRequest(withoutAnyHome)
                        .getAskTarget()
                        .getWork()))
                .isEqualTo(withoutAnyHome);
    }

    @Example
    void anAssignmentIsDecodedWithItsHelpers() {
        Assignment assignment = new Assignment(
                target("a"),
                ImmutableList.of(new HelperTarget(target("b"), 0), new HelperTarget(target("c"), 5_000)),
                Duration.ofMillis(77),
                Optional.of(Duration.ofMillis(199)));
        AssignMessages.Assigned decoded = AssignMessages.fromAssigned(
                AssignMessages.effect(new AssignEffect.Assigned(ID, assignment)).getTargetAssigned());

        assertThat(decoded.id()).isEqualTo(ID);
        assertThat(decoded.target()).isEqualTo(TargetId.of("a"));
        assertThat(decoded.helpers()).isEqualTo(assignment.helperRefs());
        assertThat(decoded.predictedTimeToFirstEvent()).isEqualTo(Duration.ofMillis(77));
        assertThat(decoded.lateAfter()).hasValue(Duration.ofMillis(199));
    }

    @Example
    void anExpectedPauseIsUnchangedAfterEncodingAndDecoding() {
        AssignEffect.PauseExpected expected = new AssignEffect.PauseExpected(ID, Duration.ofMillis(1_234));

        assertThat(AssignMessages.fromPauseExpected(
                        AssignMessages.effect(expected).getPauseExpected()))
                .isEqualTo(expected);
    }

    @Example
    void aRefusedConnectionIsUnchangedAfterEncodingAndDecoding() {
        TargetIncarnation target = new TargetIncarnation(TargetId.of("target"), 1_796_500_000_000L);

        assertThat(AssignMessages.fromConnectionRefused(
                        AssignMessages.connectionRefused(target).getConnectionRefused()))
                .isEqualTo(new AssignEvent.ConnectionRefused(target));
    }

    @Example
    void anAnnouncementThatATargetIsLeavingIsUnchangedAfterEncodingAndDecoding() {
        TargetIncarnation target = new TargetIncarnation(TargetId.of("target"), 7);

        assertThat(AssignMessages.fromTargetLeaving(
                        AssignMessages.targetLeaving(target).getTargetLeaving()))
                .isEqualTo(target);
    }

    @Example
    void aQuietTargetIsUnchangedAfterEncodingAndDecodingAndInvalidTimesAreRejected() {
        TargetIncarnation target = new TargetIncarnation(TargetId.of("target"), 7);
        HostId host = HostId.of("host");
        TargetQuiet message =
                AssignMessages.targetQuiet(target, Duration.ofMillis(1_500)).getTargetQuiet();

        assertThat(AssignMessages.fromTargetQuiet(host, message))
                .isEqualTo(new AssignEvent.QuietRequested(host, target, Duration.ofMillis(1_500)));
        for (long millis : new long[] {-1, Long.MAX_VALUE, Long.MIN_VALUE}) {
            TargetQuiet invalid = message.toBuilder().setTimeMillis(millis).build();
            boolean rejected = false;
            try {
                AssignMessages.fromTargetQuiet(host, invalid);
            } catch (IllegalArgumentException e) {
                rejected = true;
            }
            assertThat(rejected).isTrue();
        }
    }

    @Example
    void everyReasonAndOutcomeIsUnchangedAfterEncodingAndDecoding() {
        for (RefusalReason reason : RefusalReason.values()) {
            AssignEffect.Refused refused = new AssignEffect.Refused(ID, reason, Duration.ofMillis(900));
            assertThat(AssignMessages.fromRefused(AssignMessages.effect(refused).getTargetRefused()))
                    .isEqualTo(refused);
        }
        for (Outcome outcome : Outcome.values()) {
            assertThat(AssignMessages.fromEnded(
                            AssignMessages.ended(ID, outcome).getAttemptEnded()))
                    .isEqualTo(new AssignEvent.Ended(ID, outcome));
        }
    }

    @Example
    void aReportedAssignmentIsUnchangedAfterEncodingAndDecoding() {
        AssignEvent.AssignmentReported reported = new AssignEvent.AssignmentReported(
                work(Optional.of(new PromptSize(9, 9)), Optional.empty()),
                TargetId.of("a"),
                ImmutableList.of(new HelperTarget.Ref(TargetId.of("b"), 3)),
                true);

        assertThat(AssignMessages.fromAssignmentReport(
                        AssignMessages.assignmentReport(reported).getHoldTarget()))
                .isEqualTo(reported);
    }
}
