package org.boragebarrow.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

/**
 * Estimates the average ratio of produced to allowed answer tokens per organisation and model.
 *
 * <p>The ratio is an exponentially weighted moving average. The least recently used entries are evicted.
 */
final class AnswerEstimator {
    private static final double INITIAL_RATIO = 0.25;
    private static final double MIN_RATIO = 0.02;
    private static final double ANSWER_SMOOTHING = 0.05;
    private static final double REFUSAL_SMOOTHING = 0.01;
    private static final int MAX_ENTRIES = 10_000;

    private final Map<Key, Double> ratios = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Returns the expected number of answer tokens for a prompt. */
    double expectedTokens(OrganisationId organisation, Work.Prompt prompt) {
        double ratio = ratios.getOrDefault(new Key(organisation, prompt.model()), INITIAL_RATIO);
        return Math.max(1, ratio * prompt.maxTokens());
    }

    /** Updates the estimate with the length of a completed answer. */
    void onAnswer(OrganisationId organisation, Work.Prompt prompt, int answerTokens) {
        double observed = Math.min(1, (double) answerTokens / prompt.maxTokens());
        update(organisation, prompt, Math.max(MIN_RATIO, observed), ANSWER_SMOOTHING);
    }

    /**
     * Lowers the estimate after a request was refused because of it, so that an estimate that is too high recovers even
     * if no answers complete.
     */
    void onRefused(OrganisationId organisation, Work.Prompt prompt) {
        update(organisation, prompt, MIN_RATIO, REFUSAL_SMOOTHING);
    }

    private void update(OrganisationId organisation, Work.Prompt prompt, double sample, double smoothing) {
        Key key = new Key(organisation, prompt.model());
        double ratio = ratios.getOrDefault(key, INITIAL_RATIO);
        ratios.put(key, ratio + smoothing * (sample - ratio));
    }

    private record Key(OrganisationId organisation, ModelId model) {}
}
