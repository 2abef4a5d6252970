package org.boragebarrow.decision.dispatch;

import org.boragebarrow.model.LengthClass;

/** Static functions that predict the queueing and run time of a prompt. */
final class Forecast {
    private static final int SHORTEST_CLASS = 0;
    private static final LengthClass[] CLASSES = LengthClass.values();
    private static final int LAST_CLASS = CLASSES.length - 1;

    private Forecast() {}

    /** Returns the predicted wait in the queue, in seconds. */
    static double queueSeconds(ModelPool pool, int index, QueuedRequest queued, int weight, boolean classAware) {
        double promptTokens = 0;
        double answerTokens = 0;
        for (int i = SHORTEST_CLASS; i <= index; i++) {
            FairQueue queue = pool.queue(i);
            if (queue.isEmpty()) {
                continue;
            }
            double fraction = i == index && classAware
                    ? queue.fractionAhead(queued.request.organisation(), queued.cost(), weight)
                    : 1;
            promptTokens += fraction * queue.promptTokens();
            answerTokens +=
                    fraction * queue.answerTokens() * pool.decodeSlowdown.factor(CLASSES[Math.min(i, LAST_CLASS)]);
        }
        if (pool.prefillRate() == 0 || pool.decodeRate() == 0) {
            return 0;
        }
        // Engines prefill and decode concurrently, so the slower of the two is the bottleneck.
        return Math.max(promptTokens / pool.prefillRate(), answerTokens / pool.decodeRate());
    }

    /** Returns the predicted time from the grant to the last token on the fastest candidate engine, in seconds. */
    static double runSeconds(ModelPool pool, QueuedRequest queued, int gangSize, long nowNanos) {
        double best = Double.MAX_VALUE;
        for (EngineView e : pool.engines()) {
            if (!Placement.isCandidate(e, queued, nowNanos)) {
                continue;
            }
            double seconds = serviceSeconds(pool, e, queued, gangSize);
            if (gangSize == 1) {
                seconds += e.waitSeconds(queued.lengthClass, nowNanos);
            }
            best = Math.min(best, seconds);
        }
        return best == Double.MAX_VALUE ? 0 : best;
    }

    /** Returns the predicted time from the start of the prefill to the last token, in seconds. */
    static double serviceSeconds(ModelPool pool, EngineView engine, QueuedRequest queued, int gangSize) {
        return queued.promptTokens() / engine.prefillRate() / gangSize + answerSeconds(pool, engine, queued);
    }

    /** Returns the predicted decode time of the answer, in seconds. */
    static double answerSeconds(ModelPool pool, EngineView engine, QueuedRequest queued) {
        return queued.expectedAnswerTokens / engine.decodeRate() * pool.decodeSlowdown.factor(queued.lengthClass);
    }

    /** Returns the predicted wait of a short prompt that is queued now, in seconds. */
    static double shortWaitSeconds(ModelPool pool, long nowNanos) {
        FairQueue queue = pool.queue(LengthClass.SHORT.ordinal());
        double min = Double.MAX_VALUE;
        for (EngineView e : pool.engines()) {
            if (e.isAvailable(nowNanos)) {
                min = Math.min(min, e.waitSeconds(LengthClass.SHORT, nowNanos));
            }
        }
        return min == Double.MAX_VALUE ? 0 : min + queue.promptTokens() / pool.prefillRate();
    }
}
