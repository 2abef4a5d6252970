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
import org.boragebarrow.trials.AdminCalls;
import org.boragebarrow.trials.Caller;
import org.boragebarrow.trials.Deployment;
import org.boragebarrow.trials.DeploymentSpec;
import org.boragebarrow.trials.Network;
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
    private static final int CHANGE_CALLERS = 2;
    private static final int FAULT_SOURCES = 2;
    private static final long TOKENS_PER_MINUTE = 100_000_000;
    private static final int MAX_CONCURRENT = 1_000;
    private static final long RECOVERY_TIMEOUT_SECONDS = 60;

    private final long seed;
    private final SoakContext context;
    private final BookingOutcomes bookings = new BookingOutcomes();
    private final AtomicLong highestAccepted = new AtomicLong();

    private Soak(long seed, SoakContext context) {
        this.seed = seed;
        this.context = context;
    }

    /**
     * The result of a run.
     *
     * @param outcomes the number of each outcome of a call
     * @param faults the faults that were injected beside those that had effects
     * @param trace the latest faults and failed calls
     */
    public record Report(
            long seed,
            ImmutableList<String> violations,
            ImmutableList<String> outcomes,
            ImmutableList<String> faults,
            ImmutableList<String> trace) {}

    /** Runs load and faults for the given time, checks the final state and returns the result. */
    public static Report run(long seed, Duration length) {
        Network network = Network.withoutIsolation();
        EngineSettings engine = EngineSettings.builder()
                .capacityTokens(ENGINE_TOKENS)
                .prefillTokensPerSecond(PREFILL_TOKENS_PER_SECOND)
                .build();
        DeploymentSpec spec = new DeploymentSpec(ZONES, HOSTS_PER_ZONE, ENGINES_PER_ZONE, engine, seed);
        try (Deployment deployment = Deployment.start(spec, network)) {
            Host host = deployment.hosts().get(0);
            AdminCalls.setAllowance(host, "standard", TOKENS_PER_MINUTE, MAX_CONCURRENT);
            AdminCalls.awaitApplied(deployment, AdminCalls.setPlan(host, "workshop", "standard", "workshop-key"));
            SoakContext context = SoakContext.of(deployment, network, Caller.of("workshop-key"));
            return new Soak(seed, context).run(length);
        }
    }

    private Report run(Duration length) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Thread> threads = new ArrayList<>();
        start(threads, PROMPT_CALLERS, () -> new PromptCaller(context, random.split()));
        start(threads, BOOKING_CALLERS, () -> new BookingCaller(context, bookings, random.split()));
        start(threads, CHANGE_CALLERS, () -> new ChangeCaller(context, highestAccepted, random.split()));
        start(threads, FAULT_SOURCES, () -> new FaultSource(context, random.split()));
        start(threads, 1, () -> new ChangeOrderCheck(context));
        start(threads, 1, () -> new TargetStopper(context, random.split()));
        Pause.millis(length.toMillis());
        context.stopped().set(true);
        threads.forEach(Soak::join);
        reconnectZones();
        checkFinalState();
        return new Report(
                seed,
                context.violations().recorded(),
                outcomeCounts(),
                context.faults().lines(),
                context.trace().lines());
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

    private void reconnectZones() {
        for (AvailabilityZoneId zone : context.deployment().spec().zoneIds()) {
            context.network().setIsolatedFromZones(zone, false);
            context.network().setIsolatedFromPlatform(zone, false);
        }
        context.trace().add("all faults have ended");
    }

    private void checkFinalState() {
        checkEventually(
                "an accepted change is in force everywhere",
                () -> context.deployment().hosts().stream()
                        .allMatch(host -> host.appliedChangeNumber() >= highestAccepted.get()));
        checkEventually(
                "every host is ready again",
                () -> context.deployment().hosts().stream().allMatch(Host::isReady));
        checkEventually(
                "no engine loses memory for good",
                () -> context.deployment().engines().values().stream().allMatch(Soak::holdsNoMemory));
        checkEventually(
                "no request is in progress",
                () -> context.deployment().hosts().stream().allMatch(host -> host.requestsInProgress() == 0));
        checkBookings();
        context.faults().check(context.violations());
    }

    private void checkEventually(String invariant, BooleanSupplier condition) {
        try {
            Waiting.until(RECOVERY_TIMEOUT_SECONDS, invariant, condition);
        } catch (IllegalStateException e) {
            context.violations()
                    .add(invariant, "not within " + RECOVERY_TIMEOUT_SECONDS + " s without faults: " + describeState());
        }
    }

    private String describeState() {
        StringBuilder text = new StringBuilder("accepted " + highestAccepted.get());
        for (Host host : context.deployment().hosts()) {
            text.append("; ").append(host.members().self()).append(" change ").append(host.appliedChangeNumber());
            text.append(" ready ").append(host.isReady());
            text.append(" requests ").append(host.requestsInProgress());
        }
        for (EngineStandin engine : context.deployment().engines().values()) {
            text.append("; ")
                    .append(engine.id())
                    .append(' ')
                    .append(Standins.readJson(engine.endpoint(), "/v1/holdings"));
        }
        return text.toString();
    }

    private static boolean holdsNoMemory(EngineStandin engine) {
        var holdings = Standins.readJson(engine.endpoint(), "/v1/holdings");
        return holdings.path("sequences").isEmpty()
                && holdings.path("reservations").isEmpty()
                && holdings.path("exports").isEmpty();
    }

    private void checkBookings() {
        Map<String, Integer> runs = new HashMap<>();
        for (ServiceStandin service : context.deployment().services().values()) {
            Standins.readJson(service.endpoint(), "/runs")
                    .path("requests")
                    .properties()
                    .forEach(
                            entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        bookings.check(runs, context.violations());
    }

    private ImmutableList<String> outcomeCounts() {
        return Multisets.copyHighestCountFirst(context.outcomes()).entrySet().stream()
                .map((Multiset.Entry<String> entry) -> entry.getCount() + " " + entry.getElement())
                .collect(ImmutableList.toImmutableList());
    }
}
