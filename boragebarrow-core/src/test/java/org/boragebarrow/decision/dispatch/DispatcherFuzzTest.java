package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.model.TargetSwitch;
import org.boragebarrow.port.EngineControl;

/** Sends random events to a dispatcher and checks its effects against a list-based oracle. */
final class DispatcherFuzzTest {
    private static final int ENGINES = 5;
    private static final int[] LENGTHS = {10, 500, 4_000, 20_000, 60_000, 120_000, 170_000, 300_000, 500_000};

    @Property(seed = "42", tries = 150)
    void everyAttemptIsResolvedOnceAndNoEngineIsOversubscribed(@ForAll("chains") ActionChain<FuzzState> chain) {
        FuzzState state = chain.run();
        state.drain();
    }

    @Provide
    Arbitrary<ActionChain<FuzzState>> chains() {
        return ActionChain.startWith(FuzzState::new)
                .withAction(8, step("submit", FuzzState::submit))
                .withAction(4, step("finish", FuzzState::finish))
                .withAction(2, step("tick", FuzzState::tick))
                .withAction(2, step("report", FuzzState::report))
                .withAction(1, step("renew", FuzzState::renew))
                .withAction(1, step("withdraw", FuzzState::withdraw))
                .withAction(1, step("resubmit", FuzzState::resubmit))
                .withAction(1, step("change an engine", FuzzState::changeEngine))
                .withAction(1, step("list", FuzzState::changeList))
                .withAction(1, step("configure", FuzzState::configure))
                .withAction(1, step("lose a front", FuzzState::loseFront))
                .withAction(1, step("summarise", FuzzState::summarise))
                .withAction(1, step("cache events", FuzzState::cacheEvents))
                .withMaxTransformations(250);
    }

    private static Action.Independent<FuzzState> step(String name, Step step) {
        return () ->
                Arbitraries.longs().map(seed -> Transformer.mutate(name, s -> step.run(s, new SplittableRandom(seed))));
    }

    /** One kind of event. */
    private interface Step {
        void run(FuzzState state, SplittableRandom random);
    }

    /** A dispatcher and an oracle that receive the same events. */
    static final class FuzzState {
        private final DispatchSettings settings = DispatchSettings.defaults()
                .withBounds(new DispatchSettings.Bounds(30, 20, 4))
                .withOrder(new DispatchSettings.Order(0.25, 0.1, 4, 2));
        private final Dispatcher dispatcher = new Dispatcher(DispatcherFixture.ZONE, settings);
        private final Oracle oracle = new Oracle(settings.lease());
        private long now = 5_000_000_000L;
        private long attempts;
        private long configurationNumber;
        private long cacheEvents;

        FuzzState() {
            for (int i = 0; i < ENGINES; i++) {
                oracle.engines.put(TargetId.of("e" + i), new Oracle.EngineState());
            }
            configure(true);
            oracle.listed.addAll(oracle.engines.keySet());
            applyTargets();
            oracle.engines.keySet().forEach(e -> report(e, 0));
        }

        private void apply(DispatchEvent event, Optional<AttemptId> repeated) {
            oracle.advance(now);
            ImmutableList<DispatchEffect> effects = dispatcher.apply(event, now);
            oracle.check(effects, repeated, now, dispatcher);
        }

        private void apply(DispatchEvent event) {
            apply(event, Optional.empty());
        }

        void submit(SplittableRandom random) {
            int length = LENGTHS[random.nextInt(LENGTHS.length)];
            long limit = Duration.ofMillis(100 + random.nextInt(60_000)).toNanos();
            ImmutableSet<TargetId> excluded = random.nextInt(5) == 0
                    ? ImmutableSet.of(TargetId.of("e" + random.nextInt(ENGINES)))
                    : ImmutableSet.of();
            GrantRequest r = new GrantRequest(
                    AttemptId.of(front(random), attempts++),
                    OrganisationId.of("org" + random.nextInt(3)),
                    new Work.Prompt(
                            DispatcherFixture.MODEL,
                            length,
                            1 + random.nextInt(2_000),
                            ImmutableLongArray.of(random.nextInt(5))),
                    now + limit,
                    excluded,
                    random.nextBoolean());
            oracle.queued.put(r.attempt(), r);
            apply(new DispatchEvent.Submitted(r));
        }

        void resubmit(SplittableRandom random) {
            Optional<GrantRequest> r = random.nextBoolean()
                    ? oracle.nthQueued(random.nextInt(100))
                    : oracle.nthGranted(random.nextInt(100)).map(g -> g.request);
            r.filter(g -> !oracle.granted.containsKey(g.attempt())
                            || oracle.granted.get(g.attempt()).leaseExpiryNanos > now)
                    .ifPresent(g -> apply(new DispatchEvent.Submitted(g), Optional.of(g.attempt())));
        }

        void withdraw(SplittableRandom random) {
            Optional<GrantRequest> r = random.nextBoolean()
                    ? oracle.nthQueued(random.nextInt(100))
                    : oracle.nthGranted(random.nextInt(100)).map(g -> g.request);
            r.ifPresent(g -> {
                oracle.queued.remove(g.attempt());
                oracle.granted.remove(g.attempt());
                apply(new DispatchEvent.Withdrawn(g.attempt()));
            });
        }

        void finish(SplittableRandom random) {
            Optional<Oracle.ActiveGrant> held = oracle.nthGranted(random.nextInt(100));
            DispatchEvent.Outcome[] outcomes = DispatchEvent.Outcome.values();
            held.ifPresent(g -> {
                oracle.granted.remove(g.request.attempt());
                apply(new DispatchEvent.Finished(
                        g.request.attempt(), g.targets.get(0), 5, outcomes[random.nextInt(outcomes.length)]));
            });
        }

        void tick(SplittableRandom random) {
            now += Duration.ofMillis(random.nextInt(1_500)).toNanos();
            apply(new DispatchEvent.Ticked());
        }

        void renew(SplittableRandom random) {
            HostIncarnation front = front(random);
            List<DispatchEvent.HeldGrant> grants = new ArrayList<>();
            for (Oracle.ActiveGrant g : ImmutableList.copyOf(oracle.granted.values())) {
                if (g.request.attempt().owner().equals(front)) {
                    grants.add(new DispatchEvent.HeldGrant(g.request, g.targets));
                    oracle.renew(g.request, g.targets, now);
                }
            }
            if (random.nextInt(4) == 0) {
                GrantRequest r = oracle.nthQueued(random.nextInt(100)).orElse(null);
                if (r != null) {
                    ImmutableList<TargetId> other = ImmutableList.of(TargetId.of("e" + random.nextInt(ENGINES)));
                    grants.add(new DispatchEvent.HeldGrant(r, other));
                    oracle.renew(r, other, now);
                }
            }
            apply(new DispatchEvent.Renewed(front, ImmutableList.copyOf(grants)));
        }

        void loseFront(SplittableRandom random) {
            HostIncarnation front = front(random);
            oracle.queued.keySet().removeIf(a -> a.owner().equals(front));
            oracle.granted.keySet().removeIf(a -> a.owner().equals(front));
            apply(new DispatchEvent.FrontLost(front));
        }

        void report(SplittableRandom random) {
            TargetId engine = TargetId.of("e" + random.nextInt(ENGINES));
            report(engine, random.nextInt(500));
        }

        private void report(TargetId engine, int ageMillis) {
            Oracle.EngineState state = oracle.engines.get(engine);
            apply(new DispatchEvent.LoadReported(
                    engine,
                    new EngineControl.LoadReport(
                            Duration.ofMillis(ageMillis),
                            Oracle.CAPACITY,
                            oracle.usedTokens(engine),
                            Oracle.SLOTS,
                            0,
                            0,
                            20_000,
                            50,
                            ImmutableSet.of(DispatcherFixture.MODEL),
                            "both",
                            !state.refusing)));
        }

        void changeEngine(SplittableRandom random) {
            TargetId id = TargetId.of("e" + random.nextInt(ENGINES));
            Oracle.EngineState state = oracle.engines.get(id);
            if (random.nextBoolean()) {
                state.unreachable = !state.unreachable;
                apply(new DispatchEvent.ReachabilityChanged(id, !state.unreachable));
                state.unreachable &= oracle.listed.contains(id);
            } else if (oracle.listed.contains(id)) {
                state.refusing = !state.refusing;
                report(id, 0);
            }
        }

        void changeList(SplittableRandom random) {
            TargetId id = TargetId.of("e" + random.nextInt(ENGINES));
            Oracle.EngineState state = oracle.engines.get(id);
            if (random.nextBoolean()) {
                state.leaving = !state.leaving;
            } else if (!oracle.listed.remove(id)) {
                oracle.listed.add(id);
                state.unreachable = false;
                state.refusing = false;
            }
            applyTargets();
        }

        private void applyTargets() {
            ImmutableList.Builder<Target> targets = ImmutableList.builder();
            for (TargetId id : oracle.listed) {
                targets.add(new Target(
                        id,
                        TargetKind.ENGINE,
                        DispatcherFixture.ZONE,
                        new Endpoint("127.0.0.1", 1),
                        Optional.empty(),
                        oracle.engines.get(id).leaving));
            }
            apply(new DispatchEvent.TargetsListed(targets.build()));
        }

        void configure(SplittableRandom random) {
            Oracle.EngineState state = oracle.engines.get(TargetId.of("e" + random.nextInt(ENGINES)));
            state.stopped = !state.stopped;
            configure(random.nextInt(10) != 0);
        }

        private void configure(boolean planned) {
            ImmutableMap.Builder<OrganisationId, Plan> plans = ImmutableMap.builder();
            ImmutableMap.Builder<PlanId, Allowance> allowances = ImmutableMap.builder();
            for (int i = 0; planned && i < 3; i++) {
                Allowance a = DispatcherFixture.allowance("org" + i, 1_000_000_000, 100, 1 + i);
                OrganisationId o = OrganisationId.of("org" + i);
                plans.put(o, new Plan(o, a.plan(), ImmutableSet.of()));
                allowances.put(a.plan(), a);
            }
            ImmutableMap.Builder<TargetId, TargetSwitch> switches = ImmutableMap.builder();
            oracle.engines.forEach((id, e) -> switches.put(id, new TargetSwitch(id, !e.stopped)));
            oracle.plansConfigured = planned;
            apply(new DispatchEvent.Configured(new Configuration(
                    ++configurationNumber, plans.buildOrThrow(), allowances.buildOrThrow(), switches.buildOrThrow())));
        }

        void summarise(SplittableRandom random) {
            ZoneSummary other = new ZoneSummary(
                    ImmutableMap.of(OrganisationId.of("org0"), random.nextLong(1_000_000)),
                    1_000_000,
                    1_000_000,
                    random.nextDouble() * 10,
                    ImmutableSet.of(DispatcherFixture.MODEL),
                    random.nextBoolean());
            apply(new DispatchEvent.ZonesSummarised(ImmutableMap.of(AvailabilityZoneId.of("b"), other)));
        }

        void cacheEvents(SplittableRandom random) {
            long first = cacheEvents + random.nextInt(3);
            cacheEvents = first + 1;
            EngineControl.CacheEvent event = new EngineControl.CacheEvent(random.nextInt(5), random.nextBoolean());
            apply(new DispatchEvent.CacheReported(
                    TargetId.of("e0"), new EngineControl.CacheEvents(first, first + 1, ImmutableList.of(event))));
        }

        /** Advances the clock past all time limits; no request may remain queued. */
        void drain() {
            now += Duration.ofHours(1).toNanos();
            apply(new DispatchEvent.Ticked());
        }

        private static HostIncarnation front(SplittableRandom random) {
            return HostIncarnation.of(HostId.of("front" + random.nextInt(2)), IncarnationNumber.of(1));
        }
    }
}
