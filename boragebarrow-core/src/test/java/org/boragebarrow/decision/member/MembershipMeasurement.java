package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.function.ToLongFunction;

import com.google.common.collect.ImmutableList;
import com.google.common.math.LinearTransformation;
import com.google.common.math.PairedStatsAccumulator;
import com.google.common.primitives.Longs;

/**
 * Prints, as Markdown, the resource use of membership per node and its delays, for the zone-tiered protocol, all-to-all
 * heartbeats and flat gossip.
 *
 * <p>Runs only the state machines, in a simulated network: without codec, sockets and links. Numeric arguments are
 * seeds, by default 1; other arguments name protocols, by default all.
 */
public final class MembershipMeasurement {
    private static final ImmutableList<Integer> SIZES = ImmutableList.of(9, 50, 100, 200, 390);
    private static final int LARGEST_SIZE = 390;
    private static final double NANOS_PER_SECOND = 1e9;

    private MembershipMeasurement() {}

    /** Runs the measurement. */
    public static void main(String[] args) {
        List<Long> seeds = new ArrayList<>();
        List<MeasuredFleet.Protocol> protocols = new ArrayList<>();
        for (String arg : args) {
            Long seed = Longs.tryParse(arg);
            if (seed == null) {
                protocols.add(MeasuredFleet.Protocol.valueOf(arg));
            } else {
                seeds.add(seed);
            }
        }
        if (seeds.isEmpty()) {
            seeds.add(1L);
        }
        if (protocols.isEmpty()) {
            protocols.addAll(List.of(MeasuredFleet.Protocol.values()));
        }
        protocols.forEach(MeasuredFleet::warmUp);
        System.out.println("Seeds " + seeds + "; ranges are over seeds.\n");
        System.out.println("| way | hosts | zones | messages/s a node | B/s out, mean | B/s out, worst node"
                + " | B/s in, worst node | µs CPU a second, mean | µs CPU a second, worst node | state, kB a node"
                + " | killed host seen in its zone, s | seen everywhere, s | change number known everywhere, s |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (MeasuredFleet.Protocol protocol : protocols) {
            PairedStatsAccumulator bytes = new PairedStatsAccumulator();
            PairedStatsAccumulator cpu = new PairedStatsAccumulator();
            for (int size : SIZES) {
                List<MeasuredFleet.Result> results = new ArrayList<>();
                for (long seed : seeds) {
                    results.add(MeasuredFleet.measure(protocol, size, seed));
                }
                print(protocol, size, results);
                if (size < LARGEST_SIZE) {
                    results.forEach(result -> bytes.add(size, result.worstOut()));
                    results.forEach(result -> cpu.add(size, result.worstCpuNanos() / 1e3));
                }
            }
            printFit(protocol, "B/s out of the worst node", bytes);
            printFit(protocol, "µs CPU a second of the worst node", cpu);
        }
        FITS.forEach(System.out::println);
    }

    private static final List<String> FITS = new ArrayList<>(List.of(
            "", "| way | measure | line through 9 to 200 hosts | r² | worked out for 390 |", "|---|---|---|---|---|"));

    private static void printFit(MeasuredFleet.Protocol protocol, String measure, PairedStatsAccumulator points) {
        LinearTransformation line = points.leastSquaresFit();
        double r = points.pearsonsCorrelationCoefficient();
        FITS.add(String.format(
                "| %s | %s | %.1f + %.2f n | %.3f | %.0f |",
                protocol.label(), measure, line.transform(0), line.slope(), r * r, line.transform(LARGEST_SIZE)));
    }

    private static void print(MeasuredFleet.Protocol protocol, int size, List<MeasuredFleet.Result> results) {
        System.out.println("| " + protocol.label() + " | " + size + " | " + protocol.zones(size)
                + " | " + range(results, r -> r.messages(), 1)
                + " | " + range(results, r -> r.meanOut(), 1)
                + " | " + range(results, r -> r.worstOut(), 1)
                + " | " + range(results, r -> r.worstIn(), 1)
                + " | " + range(results, r -> r.meanCpuNanos(), 1e3)
                + " | " + range(results, r -> r.worstCpuNanos(), 1e3)
                + " | " + range(results, r -> r.stateBytes(), 1e3)
                + " | " + range(results, r -> r.detectedInZoneNanos(), NANOS_PER_SECOND)
                + " | " + range(results, r -> r.detectedEverywhereNanos(), NANOS_PER_SECOND)
                + " | " + range(results, r -> r.changePropagationNanos(), NANOS_PER_SECOND) + " |");
        System.out.flush();
    }

    private static String range(
            List<MeasuredFleet.Result> results, ToLongFunction<MeasuredFleet.Result> get, double unit) {
        LongSummaryStatistics values = results.stream().mapToLong(get).summaryStatistics();
        String low = format(values.getMin() / unit);
        String high = format(values.getMax() / unit);
        return low.equals(high) ? low : low + "–" + high;
    }

    private static String format(double value) {
        return value < 0 ? "—" : value < 10 ? String.format("%.2f", value) : String.format("%,.0f", value);
    }
}
