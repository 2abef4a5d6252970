package org.boragebarrow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/** Draws the requests of a trial. */
final class Workload {
    private static final int ORGANISATIONS = 10;
    private static final int MAX_TOKENS = 512;

    private Workload() {}

    /**
     * Returns requests with random gaps, 1 in 50 of them longer than 100k tokens.
     *
     * @param draftPart the part of drafts, from 32k to 128k tokens
     * @param ratePerSecond the mean rate at each second
     */
    static List<SimulatedRequest> draw(long seed, double seconds, double draftPart, DoubleUnaryOperator ratePerSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        List<SimulatedRequest> requests = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / ratePerSecond.applyAsDouble(at);
            if (at > seconds) {
                return requests;
            }
            requests.add(new SimulatedRequest(
                    requests.size(),
                    random.nextInt(ORGANISATIONS),
                    (long) (at * 1e9),
                    length(random, draftPart),
                    MAX_TOKENS,
                    32 + random.nextInt(192)));
        }
    }

    /** Returns only the requests of the shortest class. */
    static List<SimulatedRequest> onlyShort(List<SimulatedRequest> all) {
        List<SimulatedRequest> requests = new ArrayList<>();
        for (SimulatedRequest r : all) {
            if (r.lengthClass().ordinal() == 0) {
                requests.add(r);
            }
        }
        return requests;
    }

    private static int length(SplittableRandom random, double draftPart) {
        if (random.nextInt(50) == 0) {
            return between(random, 100_000, 300_000);
        }
        if (random.nextDouble() < draftPart) {
            return between(random, 33_000, 128_000);
        }
        return between(random, 200, 4_000);
    }

    private static int between(SplittableRandom random, int least, int most) {
        return (int) (least * Math.pow((double) most / least, random.nextDouble()));
    }
}
