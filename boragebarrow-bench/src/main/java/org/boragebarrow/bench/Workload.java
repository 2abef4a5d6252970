package org.boragebarrow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/** Draws the requests of a simulation. */
final class Workload {
    private static final int ORGANISATIONS = 10;
    private static final int MAX_TOKENS = 512;

    private Workload() {}

    /**
     * Returns requests with exponentially distributed gaps.
     *
     * <p>1 in 50 prompts has 100k to 300k tokens; the others are drafts or have 200 to 4,000 tokens. Lengths are
     * distributed uniformly on a logarithmic scale.
     *
     * @param draftFraction the probability that one of the others is a draft, which has 33k to 128k tokens
     * @param ratePerSecond the mean number of requests per second, at a time in seconds
     */
    static List<SimulatedRequest> draw(
            long seed, double seconds, double draftFraction, DoubleUnaryOperator ratePerSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        List<SimulatedRequest> requests = new ArrayList<>();
        double arrivalSeconds = 0;
        while (true) {
            arrivalSeconds += -Math.log(1 - random.nextDouble()) / ratePerSecond.applyAsDouble(arrivalSeconds);
            if (arrivalSeconds > seconds) {
                return requests;
            }
            requests.add(new SimulatedRequest(
                    requests.size(),
                    random.nextInt(ORGANISATIONS),
                    (long) (arrivalSeconds * 1e9),
                    drawPromptTokens(random, draftFraction),
                    MAX_TOKENS,
                    32 + random.nextInt(192)));
        }
    }

    /** Returns only the requests of the shortest length class. */
    static List<SimulatedRequest> onlyShort(List<SimulatedRequest> requests) {
        List<SimulatedRequest> shortRequests = new ArrayList<>();
        for (SimulatedRequest request : requests) {
            if (request.lengthClass().ordinal() == 0) {
                shortRequests.add(request);
            }
        }
        return shortRequests;
    }

    private static int drawPromptTokens(SplittableRandom random, double draftFraction) {
        if (random.nextInt(50) == 0) {
            return drawLogUniform(random, 100_000, 300_000);
        }
        if (random.nextDouble() < draftFraction) {
            return drawLogUniform(random, 33_000, 128_000);
        }
        return drawLogUniform(random, 200, 4_000);
    }

    private static int drawLogUniform(SplittableRandom random, int min, int max) {
        return (int) (min * Math.pow((double) max / min, random.nextDouble()));
    }
}
