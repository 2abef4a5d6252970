package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

/** Tests the order in which prompts of different lengths are granted and the engines that are selected for them. */
final class DispatcherOrderingTest {
    private static final long CAPACITY = 200_000;
    private static final int SLOTS = 4;
    private static final Duration LONG_LIMIT = Duration.ofMinutes(9);
    private static final DispatchSettings LONG_LEASE =
            DispatchSettings.defaults().withLease(Duration.ofHours(1));

    @Example
    void longPromptsNeverUseSlotsReservedForShortOnes() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, 1_000_000, 4);
        for (int i = 0; i < 10; i++) {
            s.submit(s.prompt(DispatcherFixture.ORG, 5_000, 10, LONG_LIMIT));
            s.advance(Duration.ofMillis(500));
        }
        assertThat(s.dispatcher.grantedCount()).isEqualTo(3);
        assertThat(s.submit(s.prompt(100))).hasSize(1);
    }

    @Example
    void longPromptsNeverUseMemoryReservedForShortOnes() {
        DispatcherFixture s = new DispatcherFixture(LONG_LEASE).withEngines(1, CAPACITY, 8);
        s.submit(s.prompt(DispatcherFixture.ORG, 179_000, 100, LONG_LIMIT));
        s.advance(Duration.ofSeconds(20));
        assertThat(s.submit(s.prompt(DispatcherFixture.ORG, 10_000, 100, LONG_LIMIT)))
                .isEmpty();
        assertThat(s.submit(s.prompt(4_000))).hasSize(1);
    }

    @Example
    void aLongPromptIsNotStarvedByAFloodOfMediumOnes() {
        DispatcherFixture s = new DispatcherFixture(LONG_LEASE).withEngines(1, CAPACITY, SLOTS);
        ArrayDeque<AttemptId> running = new ArrayDeque<>();
        for (int i = 0; i < 3; i++) {
            running.add(DispatcherFixture.granted(s.submit(medium(s))).attempt());
            s.advance(Duration.ofSeconds(3));
        }
        GrantRequest waiting = s.prompt(DispatcherFixture.ORG, 120_000, 100, LONG_LIMIT);
        assertThat(s.submit(waiting)).isEmpty();
        int overtakes = 0;
        boolean granted = false;
        while (!granted) {
            s.submit(medium(s));
            s.advanceClock(Duration.ofSeconds(1));
            for (DispatchEffect e : finishUntilGrant(s, running)) {
                AttemptId attempt = ((DispatchEffect.Granted) e).attempt();
                granted |= attempt.equals(waiting.attempt());
                running.add(attempt);
            }
            assertThat(++overtakes).isAtMost(LONG_LEASE.order().maxOvertakes() + SLOTS);
        }
    }

    private static GrantRequest medium(DispatcherFixture s) {
        return s.prompt(DispatcherFixture.ORG, 30_000, 100, Duration.ofMinutes(3));
    }

    private static ImmutableList<DispatchEffect> finishUntilGrant(DispatcherFixture s, ArrayDeque<AttemptId> running) {
        ImmutableList<DispatchEffect> effects = ImmutableList.of();
        while (effects.isEmpty()) {
            effects = s.apply(new DispatchEvent.Finished(
                    running.remove(), TargetId.of("e00"), 10, DispatchEvent.Outcome.COMPLETED));
        }
        return effects;
    }

    @Example
    void aPromptGoesToTheEngineThatHasItsPrefix() {
        DispatcherFixture s = new DispatcherFixture().withEngines(4, CAPACITY, 16);
        long[] blocks = {1, 2, 3, 4};
        GrantRequest first = s.request(
                DispatcherFixture.ORG, DispatcherFixture.promptOf(2_100, 10, blocks), DispatcherFixture.TIME_LIMIT);
        TargetId engine = DispatcherFixture.target(s.submit(first));
        s.advanceClock(Duration.ofSeconds(1));
        s.finish(first, engine, DispatchEvent.Outcome.COMPLETED);
        for (int i = 0; i < 3; i++) {
            GrantRequest next = s.request(
                    DispatcherFixture.ORG, DispatcherFixture.promptOf(2_200, 10, blocks), DispatcherFixture.TIME_LIMIT);
            assertThat(DispatcherFixture.target(s.submit(next))).isEqualTo(engine);
            s.advanceClock(Duration.ofSeconds(1));
            s.finish(next, engine, DispatchEvent.Outcome.COMPLETED);
        }
    }

    @Example
    void aPopularPrefixDoesNotOverloadItsEngine() {
        DispatcherFixture s = new DispatcherFixture().withEngines(4, 1_000_000, 64);
        int maxGrants = 0;
        int[] grantsByEngine = new int[4];
        for (int i = 0; i < 40; i++) {
            GrantRequest r = s.request(
                    DispatcherFixture.ORG,
                    DispatcherFixture.promptOf(2_100, 10, 1, 2, 3, 4),
                    DispatcherFixture.TIME_LIMIT);
            int engine = Integer.parseInt(
                    DispatcherFixture.target(s.submit(r)).value().substring(1));
            maxGrants = Math.max(maxGrants, ++grantsByEngine[engine]);
            s.advance(Duration.ofMillis(50));
        }
        assertThat(maxGrants).isAtMost(20);
    }

    @Example
    void grantsMissingFromALoadReportCountAsLoad() {
        DispatcherFixture s = new DispatcherFixture().withEngines(2, CAPACITY, 8);
        TargetId first = DispatcherFixture.target(s.submit(s.prompt(4_000)));
        s.report(first.value(), CAPACITY, 0, 8, 0, true);
        assertThat(DispatcherFixture.target(s.submit(s.prompt(4_000)))).isNotEqualTo(first);
    }

    @Example
    void memoryUsedByOtherDispatchersIsNotGranted() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.report("e00", CAPACITY, 150_000, 8, 1, true);
        assertThat(s.submit(s.prompt(DispatcherFixture.ORG, 60_000, 100, LONG_LIMIT)))
                .isEmpty();
        assertThat(s.report("e00", CAPACITY, 0, 8, 0, true)).hasSize(1);
    }

    @Example
    void aPromptLargerThanOneEngineGetsAGangInTargetOrder() {
        DispatcherFixture s = new DispatcherFixture().withEngines(4, CAPACITY, 8);
        DispatchEffect.Granted g =
                DispatcherFixture.granted(s.submit(s.prompt(DispatcherFixture.ORG, 500_000, 100, LONG_LIMIT)));
        assertThat(g.targets()).hasSize(3);
        assertThat(g.targets()).isInStrictOrder();
    }

    @Example
    void aGangWaitsUntilAllItsEnginesHaveRoomAndThenStarts() {
        DispatcherFixture s = new DispatcherFixture(LONG_LEASE).withEngines(3, CAPACITY, 8);
        GrantRequest small = s.prompt(DispatcherFixture.ORG, 100_000, 100, LONG_LIMIT);
        TargetId engine = DispatcherFixture.target(s.submit(small));
        GrantRequest gang = s.prompt(DispatcherFixture.ORG, 500_000, 100, LONG_LIMIT);
        assertThat(s.submit(gang)).isEmpty();
        s.advanceClock(Duration.ofSeconds(10));
        DispatchEffect.Granted g = DispatcherFixture.granted(s.finish(small, engine, DispatchEvent.Outcome.COMPLETED));
        assertThat(g.attempt()).isEqualTo(gang.attempt());
    }

    @Example
    void workThatWouldDelayAWaitingGangIsNotGranted() {
        DispatcherFixture s = new DispatcherFixture().withEngines(3, CAPACITY, 8);
        s.submit(s.prompt(DispatcherFixture.ORG, 100_000, 100, LONG_LIMIT));
        s.submit(s.prompt(DispatcherFixture.ORG, 500_000, 100, LONG_LIMIT));
        assertThat(s.submit(s.prompt(DispatcherFixture.ORG, 100_000, 2_000, LONG_LIMIT)))
                .isEmpty();
        assertThat(s.submit(s.prompt(1_000))).hasSize(1);
    }

    @Example
    void aPromptLargerThanTheZoneIsRefusedAsTooLong() {
        DispatcherFixture s = new DispatcherFixture().withEngines(2, CAPACITY, 8);
        DispatchEffect.Refused r =
                DispatcherFixture.refused(s.submit(s.prompt(DispatcherFixture.ORG, 900_000, 100, LONG_LIMIT)));
        assertThat(r.kind()).isEqualTo(ErrorKind.PROMPT_TOO_LONG);
    }

    @Example
    void aPromptLargerThanTheZoneIsSpilledOnce() {
        DispatcherFixture s = new DispatcherFixture().withEngines(2, CAPACITY, 8);
        AvailabilityZoneId other = AvailabilityZoneId.of("b");
        s.apply(new DispatchEvent.ZonesSummarised(ImmutableMap.of(other, summary(true))));
        GrantRequest r = s.prompt(DispatcherFixture.ORG, 900_000, 100, LONG_LIMIT);
        assertThat(s.submit(r)).containsExactly(new DispatchEffect.Spilled(r.attempt(), other));
        GrantRequest spilled = new GrantRequest(
                r.attempt(), DispatcherFixture.ORG, r.work(), r.deadlineNanos(), ImmutableSet.of(), true);
        assertThat(DispatcherFixture.refused(s.submit(spilled)).kind()).isEqualTo(ErrorKind.PROMPT_TOO_LONG);
    }

    @Example
    void noPromptIsSpilledToAnUnresponsiveZone() {
        DispatcherFixture s = new DispatcherFixture().withEngines(2, CAPACITY, 8);
        s.apply(new DispatchEvent.ZonesSummarised(ImmutableMap.of(AvailabilityZoneId.of("b"), summary(false))));
        ImmutableList<DispatchEffect> effects = s.submit(s.prompt(DispatcherFixture.ORG, 900_000, 100, LONG_LIMIT));
        assertThat(effects.get(0)).isInstanceOf(DispatchEffect.Refused.class);
    }

    private static ZoneSummary summary(boolean responsive) {
        return new ZoneSummary(
                ImmutableMap.of(), 2_000_000, 2_000_000, 0, ImmutableSet.of(DispatcherFixture.MODEL), responsive);
    }

    @Example
    void aFloodOfLongPromptsLeavesAnEngineForShortOnes() {
        DispatcherFixture s = new DispatcherFixture().withEngines(8, 1_000_000, 16);
        for (int i = 0; i < 40; i++) {
            s.submit(s.prompt(DispatcherFixture.ORG, 100_000, 10, LONG_LIMIT));
        }
        TargetId engine = DispatcherFixture.target(s.submit(s.prompt(1_000)));
        assertThat(engine).isEqualTo(TargetId.of("e00"));
    }

    @Example
    void aRequestBeyondTheAllowanceIsRefusedWithARetryTime() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 8);
        s.configure(DispatcherFixture.allowance("org", 60_000, 1, 1));
        s.submit(s.prompt(1_000));
        DispatchEffect.Refused r = DispatcherFixture.refused(s.submit(s.prompt(1_000)));
        assertThat(r.kind()).isEqualTo(ErrorKind.ALLOWANCE_SPENT);
        assertThat(r.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Example
    void aFloodOfOneOrganisationDoesNotDelayAnother() {
        DispatcherFixture s = new DispatcherFixture().withEngines(1, CAPACITY, 1);
        s.configure(
                DispatcherFixture.allowance("org", 1_000_000_000, 10_000, 1),
                DispatcherFixture.allowance("other", 1_000_000, 10, 1));
        GrantRequest running = s.prompt(1_000);
        s.submit(running);
        for (int i = 0; i < 50; i++) {
            s.submit(s.prompt(1_000));
        }
        GrantRequest small = s.prompt(OrganisationId.of("other"), 500, 100, DispatcherFixture.TIME_LIMIT);
        s.submit(small);
        s.advanceClock(Duration.ofSeconds(1));
        DispatchEffect.Granted g =
                DispatcherFixture.granted(s.finish(running, TargetId.of("e00"), DispatchEvent.Outcome.COMPLETED));
        assertThat(g.attempt()).isEqualTo(small.attempt());
    }
}
