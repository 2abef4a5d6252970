package org.boragebarrow.trials.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import com.google.common.collect.Multisets;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.engine.EngineSettings;
import org.boragebarrow.standins.engine.EngineStandin;
import org.boragebarrow.standins.service.ServiceStandin;
import org.boragebarrow.trials.Caller;
import org.boragebarrow.trials.Deployment;
import org.boragebarrow.trials.Network;
import org.boragebarrow.trials.Operators;
import org.boragebarrow.trials.Shape;
import org.boragebarrow.trials.Standins;
import org.boragebarrow.trials.Waiting;

/** Runs random load and faults against a deployment and checks its invariants during the run and after the faults. */
public final class Soak {
    private static final int ZONES = 3;
    private static final int HOSTS_PER_ZONE = 2;
    private static final int ENGINES_PER_ZONE = 2;
    private static final long ENGINE_TOKENS = 150_000;
    private static final double PREFILL_TOKENS_PER_SECOND = 100_000;
    private static final int PROMPT_CALLERS = 12;
    private static final int BOOKING_CALLERS = 6;
    private static final int OPERATORS = 2;
    private static final int FAULT_SOURCES = 2;
    private static final long TOKENS_PER_MINUTE = 100_000_000;
    private static final int MAX_CONCURRENT = 1_000;
    private static final long QUIET_SECONDS = 60;

    private final long seed;
    private final World world;
    private final BookingLedger ledger = new BookingLedger();
    private final AtomicLong highestAccepted = new AtomicLong();

    private Soak(long seed, World context) {
        this.seed = seed;
        this.world = context;
    }

    /** The result of a run: the violations, the number of each outcome and the latest faults and outcomes. */
    public record Report(
            long seed, ImmutableList<String> violations, ImmutableList<String> outcomes, ImmutableList<String> trace) {}

    /** Runs load and faults for the given time, checks the final state and returns the result. */
    public static Report run(long seed, Duration length) {
        Network network = Network.direct();
        EngineSettings engine = EngineSettings.builder()
                .capacityTokens(ENGINE_TOKENS)
                .prefillTokensPerSecond(PREFILL_TOKENS_PER_SECOND)
                .build();
        Shape spec = new Shape(ZONES, HOSTS_PER_ZONE, ENGINES_PER_ZONE, engine, seed);
        try (Deployment deployment = Deployment.start(spec, network)) {
            Host host = deployment.hosts().get(0);
            Operators.setAllowance(host, "standard", TOKENS_PER_MINUTE, MAX_CONCURRENT);
            Operators.awaitInForce(deployment, Operators.setPlan(host, "workshop", "standard", "workshop-key"));
            World context = World.of(deployment, network, Caller.of("workshop-key"));
            return new Soak(seed, context).run(length);
        }
    }

    private Report run(Duration length) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Thread> threads = new ArrayList<>();
        start(threads, PROMPT_CALLERS, () -> new PromptCaller(world, random.split()));
        start(threads, BOOKING_CALLERS, () -> new BookingCaller(world, ledger, random.split()));
        start(threads, OPERATORS, () -> new ChangeCaller(world, highestAccepted, random.split()));
        start(threads, FAULT_SOURCES, () -> new Faults(world, random.split()));
        start(threads, 1, () -> new ChangeWatch(world));
        start(threads, 1, () -> new TargetStopper(world, random.split()));
        Pause.millis(length.toMillis());
        world.stopped().set(true);
        threads.forEach(Soak::join);
        heal();
        checkEnd();
        return new Report(
                seed, world.violations().found(), outcomes(), world.trace().lines());
    }

    private static void start(List<Thread> threads, int count, Supplier<Runnable> task) {
        for (int number = 0; number < count; number++) {
            threads.add(Thread.ofVirtual().start(task.get()));
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void heal() {
        for (AvailabilityZoneId zone : world.deployment().shape().zoneIds()) {
            world.network().setCutFromZones(zone, false);
            world.network().setCutFromPlatform(zone, false);
        }
        world.trace().add("all faults have ended");
    }

    private void checkEnd() {
        check(
                "an accepted change is in force everywhere",
                () -> world.deployment().hosts().stream()
                        .allMatch(host -> host.appliedChangeNumber() >= highestAccepted.get()));
        check(
                "every host is ready again",
                () -> world.deployment().hosts().stream().allMatch(Host::isReady));
        check(
                "no engine loses memory for good",
                () -> world.deployment().engines().values().stream().allMatch(Soak::isEmpty));
        check(
                "no request is in progress",
                () -> world.deployment().hosts().stream().allMatch(host -> host.requestsInProgress() == 0));
        checkBookings();
    }

    private void check(String invariant, BooleanSupplier condition) {
        try {
            Waiting.until(QUIET_SECONDS, invariant, condition);
        } catch (IllegalStateException e) {
            world.violations().add(invariant, "not within " + QUIET_SECONDS + " s without faults: " + state());
        }
    }

    private String state() {
        StringBuilder text = new StringBuilder("accepted " + highestAccepted.get());
        for (Host host : world.deployment().hosts()) {
            text.append("; ").append(host.members().self()).append(" change ").append(host.appliedChangeNumber());
            text.append(" ready ").append(host.isReady());
            text.append(" requests ").append(host.requestsInProgress());
        }
        for (EngineStandin engine : world.deployment().engines().values()) {
            text.append("; ").append(engine.id()).append(' ').append(Standins.read(engine.endpoint(), "/v1/holdings"));
        }
        return text.toString();
    }

    private static boolean isEmpty(EngineStandin engine) {
        var holdings = Standins.read(engine.endpoint(), "/v1/holdings");
        return holdings.path("sequences").isEmpty()
                && holdings.path("reservations").isEmpty()
                && holdings.path("exports").isEmpty();
    }

    private void checkBookings() {
        Map<String, Integer> runs = new HashMap<>();
        for (ServiceStandin service : world.deployment().services().values()) {
            Standins.read(service.endpoint(), "/runs")
                    .path("requests")
                    .properties()
                    .forEach(
                            entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        ledger.check(runs, world.violations());
    }

    private ImmutableList<String> outcomes() {
        return Multisets.copyHighestCountFirst(world.outcomes()).entrySet().stream()
                .map((Multiset.Entry<String> entry) -> entry.getCount() + " " + entry.getElement())
                .collect(ImmutableList.toImmutableList());
    }
}
