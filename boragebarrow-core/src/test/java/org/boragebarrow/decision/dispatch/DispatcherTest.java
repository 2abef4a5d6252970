package org.boragebarrow.decision.dispatch;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

final class DispatcherTest {
    private static final long CAPACITY = 200_000;

    @Example
    void aPromptIsGrantedAtOnceWhenAnEngineIsFree() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        GrantRequest r = s.prompt(1_000);
        DispatchEffect.Granted g = DispatcherFixture.granted(s.submit(r));
        assertThat(g.attempt()).isEqualTo(r.attempt());
        assertThat(g.targets()).containsExactly(TargetId.of("e00"));
    }

    @Example
    void aRepeatedSubmissionRepeatsTheGrant() {
        DispatcherFixture s = new DispatcherFixture().withEngines(2, CAPACITY, 8);
        GrantRequest r = s.prompt(1_000);
        assertThat(s.submit(r)).isEqualTo(s.submit(r));
        assertThat(s.dispatcher.grantedCount()).isEqualTo(1);
    }

    @Example
    void aRepeatedSubmissionOfAQueuedAttemptIsQueuedOnce() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        s.submit(s.prompt(1_000));
        GrantRequest r = s.prompt(1_000);
        assertThat(s.submit(r)).isEmpty();
        assertThat(s.submit(r)).isEmpty();
        assertThat(s.dispatcher.queuedCount()).isEqualTo(1);
    }

    @Example
    void aQueuedRequestIsGrantedWhenARunningOneFinishes() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        GrantRequest first = s.prompt(1_000);
        GrantRequest second = s.prompt(1_000);
        TargetId engine = DispatcherFixture.target(s.submit(first));
        s.submit(second);
        s.advanceClock(Duration.ofSeconds(1));
        DispatchEffect.Granted g = DispatcherFixture.granted(s.finish(first, engine, DispatchEvent.Outcome.COMPLETED));
        assertThat(g.attempt()).isEqualTo(second.attempt());
    }

    @Example
    void aWithdrawnRequestIsNeverGranted() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        GrantRequest first = s.prompt(1_000);
        GrantRequest second = s.prompt(1_000);
        s.submit(first);
        s.submit(second);
        s.apply(new DispatchEvent.Withdrawn(second.attempt()));
        assertThat(s.apply(new DispatchEvent.Withdrawn(first.attempt()))).isEmpty();
        assertThat(s.dispatcher.grantedCount()).isEqualTo(0);
    }

    @Example
    void aQueuedRequestIsRefusedAsNotRunAtItsTimeLimit() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.stop("e00");
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        DispatchEffect.Refused r = DispatcherFixture.refused(s.advance(DispatcherFixture.TIME_LIMIT));
        assertThat(r.kind()).isEqualTo(ErrorKind.TIMED_OUT_NOT_RUN);
        assertThat(s.dispatcher.queuedCount()).isEqualTo(0);
    }

    @Example
    void aFullQueueRefusesNewWorkAsOverloaded() {
        DispatchSettings settings = DispatchSettings.defaults().withBounds(new DispatchSettings.Bounds(2, 2, 8));
        DispatcherFixture s = new DispatcherFixture(settings).withEngines(1, CAPACITY, 1);
        for (int i = 0; i < 3; i++) {
            s.submit(s.prompt(1_000));
        }
        DispatchEffect.Refused r = DispatcherFixture.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(r.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Example
    void aRequestThatCannotFinishInTimeIsRefusedAtOnce() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, 1_000_000, 8);
        GrantRequest r = s.prompt(DispatcherFixture.ORG, 400_000, 100, Duration.ofSeconds(10));
        DispatchEffect.Refused refused = DispatcherFixture.refused(s.submit(r));
        assertThat(refused.kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
        assertThat(refused.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Example
    void anUnknownModelIsRefused() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        Work.Prompt other = new Work.Prompt(
                ModelId.of("other"), 10, 10, DispatcherFixture.promptOf(10, 10).prefix());
        DispatchEffect.Refused r = DispatcherFixture.refused(
                s.submit(s.request(DispatcherFixture.ORG, other, DispatcherFixture.TIME_LIMIT)));
        assertThat(r.kind()).isEqualTo(ErrorKind.UNKNOWN_MODEL);
    }

    @Example
    void aPromptIsRefusedWhenNoEngineIsListed() {
        DispatcherFixture s = new DispatcherFixture();
        DispatchEffect.Refused r = DispatcherFixture.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.NO_TARGET);
    }

    @Example
    void anEngineThatHasNotReportedAcceptsPrompts() {
        DispatcherFixture s = new DispatcherFixture();
        s.listEngines("e00");
        assertThat(DispatcherFixture.target(s.submit(s.prompt(1_000)))).isEqualTo(TargetId.of("e00"));
    }

    @Example
    void anOrganisationWithoutPlanIsNotAllowed() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.removePlans();
        DispatchEffect.Refused r = DispatcherFixture.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.NOT_ALLOWED);
    }

    @Example
    void removingAPlanAlsoAppliesToQueuedRequests() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        GrantRequest first = s.prompt(1_000);
        s.submit(first);
        s.submit(s.prompt(1_000));
        s.removePlans();
        ImmutableList<DispatchEffect> effects = s.finish(first, TargetId.of("e00"), DispatchEvent.Outcome.COMPLETED);
        assertThat(effects.size() + s.dispatcher.queuedCount()).isAtMost(1);
        assertThat(s.dispatcher.grantedCount()).isEqualTo(0);
    }

    @Example
    void aStoppedTargetGetsNoNewWorkUntilItIsStarted() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.stop("e00");
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        assertThat(s.start("e00")).hasSize(1);
    }

    @Example
    void anEmptiedZoneGetsNoNewWorkUntilItIsTakenBackAlsoThroughTargetsThatAppearMeanwhile() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.setEmptied(true);
        s.withEngines(2, CAPACITY, 8);
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        assertThat(s.setEmptied(false)).hasSize(1);
    }

    @Example
    void aLeavingTargetGetsNoNewWork() {
        DispatcherFixture s = new DispatcherFixture().withEngines(2, CAPACITY, 8);
        s.markLeaving("e00");
        for (int i = 0; i < 4; i++) {
            assertThat(DispatcherFixture.target(s.submit(s.prompt(1_000)))).isEqualTo(TargetId.of("e01"));
        }
    }

    @Example
    void anUnreachableTargetGetsNoNewWorkUntilItIsReachableAgain() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.apply(new DispatchEvent.ReachabilityChanged(TargetId.of("e00"), false));
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        assertThat(s.apply(new DispatchEvent.ReachabilityChanged(TargetId.of("e00"), true)))
                .hasSize(1);
    }

    @Example
    void anEngineThatIsNotAcceptingGetsNoNewWork() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.report("e00", CAPACITY, 0, 8, 0, false);
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
    }

    @Example
    void aTargetThatFailedTheRequestIsNotGrantedAgain() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        GrantRequest r = s.prompt(1_000);
        GrantRequest retry = new GrantRequest(
                r.attempt(), r.organisation(), r.work(), r.deadlineNanos(), ImmutableSet.of(TargetId.of("e00")), false);
        assertThat(DispatcherFixture.refused(s.submit(retry)).kind()).isEqualTo(ErrorKind.NO_TARGET);
    }

    @Example
    void aTargetThatKeepsFailingGetsOnlyProbes() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        for (int i = 0; i < 5; i++) {
            GrantRequest r = s.prompt(100);
            s.finish(r, DispatcherFixture.target(s.submit(r)), DispatchEvent.Outcome.FAILED);
        }
        assertThat(s.submit(s.prompt(100))).isEmpty();
        assertThat(s.submit(s.prompt(100))).isEmpty();
        assertThat(s.advance(Duration.ofSeconds(1))).hasSize(1);
    }

    @Example
    void aLeaseThatIsNotRenewedFreesTheEngine() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        s.submit(s.prompt(1_000));
        GrantRequest second = s.prompt(1_000);
        s.submit(second);
        DispatchEffect.Granted g =
                DispatcherFixture.granted(s.advance(DispatchSettings.defaults().lease()));
        assertThat(g.attempt()).isEqualTo(second.attempt());
    }

    @Example
    void aRenewedLeaseDoesNotExpire() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        GrantRequest first = s.prompt(1_000);
        ImmutableList<TargetId> targets =
                DispatcherFixture.granted(s.submit(first)).targets();
        s.submit(s.prompt(1_000));
        for (int i = 0; i < 10; i++) {
            s.advanceClock(Duration.ofSeconds(2));
            DispatchEvent.HeldGrant held = new DispatchEvent.HeldGrant(first, targets);
            assertThat(s.apply(new DispatchEvent.Renewed(DispatcherFixture.FRONT, ImmutableList.of(held))))
                    .isEmpty();
        }
    }

    @Example
    void aGrantOfAnotherDispatcherIsCountedWhenItsFrontRenewsIt() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        DispatchEvent.HeldGrant held =
                new DispatchEvent.HeldGrant(s.prompt(1_000), ImmutableList.of(TargetId.of("e00")));
        s.apply(new DispatchEvent.Renewed(DispatcherFixture.FRONT, ImmutableList.of(held)));
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
    }

    @Example
    void losingAFrontDropsItsQueuedRequestsAndGrants() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        s.submit(s.prompt(1_000));
        s.submit(s.prompt(1_000));
        assertThat(s.apply(new DispatchEvent.FrontLost(DispatcherFixture.FRONT)))
                .isEmpty();
        assertThat(s.dispatcher.grantedCount() + s.dispatcher.queuedCount()).isEqualTo(0);
    }

    @Example
    void aServiceCallGoesToTheTargetWithTheFewestCalls() {
        DispatcherFixture s = new DispatcherFixture();
        s.listServices("s0", "s1");
        TargetId first = DispatcherFixture.target(s.submit(s.serviceCall()));
        TargetId second = DispatcherFixture.target(s.submit(s.serviceCall()));
        assertThat(first).isNotEqualTo(second);
    }

    @Example
    void aServiceCallDoesNotWaitBehindPrompts() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        s.listServices("s0");
        for (int i = 0; i < 10; i++) {
            s.submit(s.prompt(4_000));
        }
        assertThat(DispatcherFixture.target(s.submit(s.serviceCall()))).isEqualTo(TargetId.of("s0"));
    }

    @Example
    void anUnknownServiceIsRefused() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        assertThat(DispatcherFixture.refused(s.submit(s.serviceCall())).kind()).isEqualTo(ErrorKind.UNKNOWN_SERVICE);
    }
}
