package org.boragebarrow.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.dispatch.PlacementPolicy;
import org.boragebarrow.model.LengthClass;

/** Prints the simulated time to the first token for each length class of prompts under each placement policy. */
public final class LengthMixTrial {
    private static final double DURATION_SECONDS = 900;
    private static final double PEAK_SECONDS = 30;
    private static final double RAMP_START_SECONDS = 60;
    private static final double RAMP_SECONDS = 5;
    private static final ImmutableMap<String, PlacementPolicy> POLICIES = ImmutableMap.of(
            "predicted cost", PlacementPolicy.PREDICTED_COST,
            "least load", PlacementPolicy.LEAST_LOAD,
            "round robin", PlacementPolicy.ROUND_ROBIN);

    private LengthMixTrial() {}

    /** Runs the simulations; the first argument is the seed, 1 if absent. */
    public static void main(String[] args) {
        long seed = args.length == 0 ? 1 : Long.parseLong(args[0]);
        for (int engines : new int[] {5, 28}) {
            for (double load : new double[] {0.5, 0.7}) {
                compareAtConstantLoad(seed, engines, load, 0);
                compareAtConstantLoad(seed, engines, load, 0.05);
            }
            compareAtPeakLoad(seed, engines);
        }
    }

    private static void compareAtConstantLoad(long seed, int engines, double load, double draftFraction) {
        double rate = requestRate(engines, load, draftFraction);
        List<SimulatedRequest> requests = Workload.draw(seed, DURATION_SECONDS, draftFraction, seconds -> rate);
        System.out.printf(
                "%n%d engines, %.0f%% load, %.0f%% drafts, %.1f requests/s, %d requests%n",
                engines, 100 * load, 100 * draftFraction, rate, requests.size());
        print(
                System.out,
                "shorts alone",
                new Simulation(engines, PlacementPolicy.PREDICTED_COST).run(Workload.onlyShort(requests)));
        POLICIES.forEach((name, policy) -> print(
                System.out,
                name,
                new Simulation(engines, policy)
                        .run(Workload.draw(seed, DURATION_SECONDS, draftFraction, seconds -> rate))));
    }

    private static void compareAtPeakLoad(long seed, int engines) {
        double rate = requestRate(engines, 0.6, 0.05);
        DoubleUnaryOperator ramp = seconds -> {
            double rise = (seconds - RAMP_START_SECONDS) / RAMP_SECONDS;
            double fall = (seconds - RAMP_START_SECONDS - PEAK_SECONDS) / RAMP_SECONDS;
            return rate * (1 + 2 * Math.clamp(rise, 0, 1) - 2 * Math.clamp(fall, 0, 1));
        };
        System.out.printf("%n%d engines, 60%% load that triples in 5 s for 30 s, 5%% drafts%n", engines);
        POLICIES.forEach((name, policy) ->
                print(System.out, name, new Simulation(engines, policy).run(Workload.draw(seed, 300, 0.05, ramp))));
    }

    /** Returns the request rate at which prefill uses the given fraction of the engines' prefill throughput. */
    private static double requestRate(int engines, double load, double draftFraction) {
        double tokens = 0;
        List<SimulatedRequest> sample = Workload.draw(99, 10_000, draftFraction, seconds -> 10);
        for (SimulatedRequest request : sample) {
            tokens += request.promptTokens;
        }
        return load * engines * 20_000 / (tokens / sample.size());
    }

    private static void print(PrintStream out, String name, Simulation simulation) {
        out.printf(
                "%-15s short p50 %6.0f p99 %6.0f ms, drafts p50 %6.0f p99 %6.0f ms, huge p50 %6.0f p99 %6.0f ms,"
                        + " in time %d, late %d, refused %d, last end %.0f s%n",
                name,
                simulation.firstTokenMillis(LengthClass.SHORT, 50),
                simulation.firstTokenMillis(LengthClass.SHORT, 99),
                simulation.firstTokenMillis(LengthClass.LONG, 50),
                simulation.firstTokenMillis(LengthClass.LONG, 99),
                simulation.firstTokenMillis(LengthClass.HUGE, 50),
                simulation.firstTokenMillis(LengthClass.HUGE, 99),
                simulation.completedInTime(),
                simulation.completedLate(),
                simulation.refusedCount(),
                simulation.lastEndSeconds());
    }
}
