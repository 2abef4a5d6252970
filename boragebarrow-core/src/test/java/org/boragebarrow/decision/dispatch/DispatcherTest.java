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
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        GrantRequest r = s.prompt(1_000);
        DispatchEffect.Granted g = Scene.granted(s.submit(r));
        assertThat(g.attempt()).isEqualTo(r.attempt());
        assertThat(g.targets()).containsExactly(TargetId.of("e00"));
    }

    @Example
    void aRepeatedSubmissionRepeatsTheGrant() {
        Scene s = new Scene().withEngines(2, CAPACITY, 8);
        GrantRequest r = s.prompt(1_000);
        assertThat(s.submit(r)).isEqualTo(s.submit(r));
        assertThat(s.dispatcher.grantedCount()).isEqualTo(1);
    }

    @Example
    void aRepeatedSubmissionOfAQueuedAttemptIsQueuedOnce() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        s.submit(s.prompt(1_000));
        GrantRequest r = s.prompt(1_000);
        assertThat(s.submit(r)).isEmpty();
        assertThat(s.submit(r)).isEmpty();
        assertThat(s.dispatcher.queuedCount()).isEqualTo(1);
    }

    @Example
    void aQueuedRequestIsGrantedWhenARunningOneFinishes() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        GrantRequest first = s.prompt(1_000);
        GrantRequest second = s.prompt(1_000);
        TargetId engine = Scene.target(s.submit(first));
        s.submit(second);
        s.sleep(Duration.ofSeconds(1));
        DispatchEffect.Granted g = Scene.granted(s.finish(first, engine, DispatchEvent.Outcome.COMPLETED));
        assertThat(g.attempt()).isEqualTo(second.attempt());
    }

    @Example
    void aWithdrawnRequestIsNeverAnswered() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
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
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        s.stop("e00");
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        DispatchEffect.Refused r = Scene.refused(s.advance(Scene.LIMIT));
        assertThat(r.kind()).isEqualTo(ErrorKind.TIMED_OUT_NOT_RUN);
        assertThat(s.dispatcher.queuedCount()).isEqualTo(0);
    }

    @Example
    void aFullQueueRefusesNewWorkAsOverloaded() {
        DispatchSettings settings = DispatchSettings.defaults().withBounds(new DispatchSettings.Bounds(2, 2, 8));
        Scene s = new Scene(settings).withEngines(1, CAPACITY, 1);
        for (int i = 0; i < 3; i++) {
            s.submit(s.prompt(1_000));
        }
        DispatchEffect.Refused r = Scene.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(r.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Example
    void aRequestThatCannotFinishInTimeIsRefusedAtOnce() {
        Scene s = new Scene().withEngines(1, 1_000_000, 8);
        GrantRequest r = s.prompt(Scene.ORG, 400_000, 100, Duration.ofSeconds(10));
        DispatchEffect.Refused refused = Scene.refused(s.submit(r));
        assertThat(refused.kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
        assertThat(refused.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Example
    void anUnknownModelIsRefused() {
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        Work.Prompt other = new Work.Prompt(
                ModelId.of("other"), 10, 10, Scene.promptOf(10, 10).prefix());
        DispatchEffect.Refused r = Scene.refused(s.submit(s.request(Scene.ORG, other, Scene.LIMIT)));
        assertThat(r.kind()).isEqualTo(ErrorKind.UNKNOWN_MODEL);
    }

    @Example
    void aPromptIsRefusedWhenNoEngineIsListed() {
        Scene s = new Scene();
        DispatchEffect.Refused r = Scene.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.NO_TARGET);
    }

    @Example
    void anEngineThatHasNotReportedAcceptsPrompts() {
        Scene s = new Scene();
        s.list("e00");
        assertThat(Scene.target(s.submit(s.prompt(1_000)))).isEqualTo(TargetId.of("e00"));
    }

    @Example
    void anOrganisationWithoutPlanIsNotAllowed() {
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        s.removePlans();
        DispatchEffect.Refused r = Scene.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.NOT_ALLOWED);
    }

    @Example
    void removingAPlanAlsoAppliesToQueuedRequests() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
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
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        s.stop("e00");
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        assertThat(s.start("e00")).hasSize(1);
    }

    @Example
    void aLeavingTargetGetsNoNewWork() {
        Scene s = new Scene().withEngines(2, CAPACITY, 8);
        s.leave("e00");
        for (int i = 0; i < 4; i++) {
            assertThat(Scene.target(s.submit(s.prompt(1_000)))).isEqualTo(TargetId.of("e01"));
        }
    }

    @Example
    void anUnreachableTargetGetsNoNewWorkUntilItIsReachableAgain() {
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        s.apply(new DispatchEvent.ReachabilityChanged(TargetId.of("e00"), false));
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
        assertThat(s.apply(new DispatchEvent.ReachabilityChanged(TargetId.of("e00"), true)))
                .hasSize(1);
    }

    @Example
    void anEngineThatIsNotAcceptingGetsNoNewWork() {
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        s.report("e00", CAPACITY, 0, 8, 0, false);
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
    }

    @Example
    void aTargetThatFailedTheRequestIsNotGrantedAgain() {
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        GrantRequest r = s.prompt(1_000);
        GrantRequest retry = new GrantRequest(
                r.attempt(), r.organisation(), r.work(), r.deadlineNanos(), ImmutableSet.of(TargetId.of("e00")), false);
        assertThat(Scene.refused(s.submit(retry)).kind()).isEqualTo(ErrorKind.NO_TARGET);
    }

    @Example
    void aTargetThatKeepsFailingGetsOnlyProbes() {
        Scene s = new Scene().withEngines(1, CAPACITY, 8);
        for (int i = 0; i < 5; i++) {
            GrantRequest r = s.prompt(100);
            s.finish(r, Scene.target(s.submit(r)), DispatchEvent.Outcome.FAILED);
        }
        assertThat(s.submit(s.prompt(100))).isEmpty();
        assertThat(s.submit(s.prompt(100))).isEmpty();
        assertThat(s.advance(Duration.ofSeconds(1))).hasSize(1);
    }

    @Example
    void aLeaseThatIsNotRenewedFreesTheEngine() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        s.submit(s.prompt(1_000));
        GrantRequest second = s.prompt(1_000);
        s.submit(second);
        DispatchEffect.Granted g =
                Scene.granted(s.advance(DispatchSettings.defaults().lease()));
        assertThat(g.attempt()).isEqualTo(second.attempt());
    }

    @Example
    void aRenewedLeaseDoesNotExpire() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        GrantRequest first = s.prompt(1_000);
        ImmutableList<TargetId> targets = Scene.granted(s.submit(first)).targets();
        s.submit(s.prompt(1_000));
        for (int i = 0; i < 10; i++) {
            s.sleep(Duration.ofSeconds(2));
            DispatchEvent.HeldGrant held = new DispatchEvent.HeldGrant(first, targets);
            assertThat(s.apply(new DispatchEvent.Renewed(Scene.FRONT, ImmutableList.of(held))))
                    .isEmpty();
        }
    }

    @Example
    void aGrantOfAnotherDispatcherIsCountedWhenItsFrontRenewsIt() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        DispatchEvent.HeldGrant held =
                new DispatchEvent.HeldGrant(s.prompt(1_000), ImmutableList.of(TargetId.of("e00")));
        s.apply(new DispatchEvent.Renewed(Scene.FRONT, ImmutableList.of(held)));
        assertThat(s.submit(s.prompt(1_000))).isEmpty();
    }

    @Example
    void losingAFrontDropsItsQueuedRequestsAndGrants() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        s.submit(s.prompt(1_000));
        s.submit(s.prompt(1_000));
        assertThat(s.apply(new DispatchEvent.FrontLost(Scene.FRONT))).isEmpty();
        assertThat(s.dispatcher.grantedCount() + s.dispatcher.queuedCount()).isEqualTo(0);
    }

    @Example
    void aServiceCallGoesToTheTargetWithTheFewestCalls() {
        Scene s = new Scene();
        s.listServices("s0", "s1");
        TargetId first = Scene.target(s.submit(s.call()));
        TargetId second = Scene.target(s.submit(s.call()));
        assertThat(first).isNotEqualTo(second);
    }

    @Example
    void aServiceCallDoesNotWaitBehindPrompts() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        s.listServices("s0");
        for (int i = 0; i < 10; i++) {
            s.submit(s.prompt(4_000));
        }
        assertThat(Scene.target(s.submit(s.call()))).isEqualTo(TargetId.of("s0"));
    }

    @Example
    void anUnknownServiceIsRefused() {
        Scene s = new Scene().withEngines(1, CAPACITY, 1);
        assertThat(Scene.refused(s.submit(s.call())).kind()).isEqualTo(ErrorKind.UNKNOWN_SERVICE);
    }
}
