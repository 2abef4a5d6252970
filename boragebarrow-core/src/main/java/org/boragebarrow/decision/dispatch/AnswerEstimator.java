package org.boragebarrow.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

/** Learns which part of the allowed answer tokens an organisation's requests to a model take on average. */
final class AnswerEstimator {
    private static final double FIRST_GUESS = 0.25;
    private static final double MIN_RATIO = 0.02;
    private static final double NEW_PART = 0.05;
    private static final double RELAXED_PART = 0.01;
    private static final int MAX_ENTRIES = 10_000;

    private final Map<Key, Double> ratios = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Returns the answer tokens that a prompt is expected to take. */
    double expect(OrganisationId organisation, Work.Prompt prompt) {
        double ratio = ratios.getOrDefault(new Key(organisation, prompt.model()), FIRST_GUESS);
        return Math.max(1, ratio * prompt.maxTokens());
    }

    /** Notes how long a whole answer was. */
    void onAnswer(OrganisationId organisation, Work.Prompt prompt, int answerTokens) {
        double seen = Math.min(1, (double) answerTokens / prompt.maxTokens());
        move(organisation, prompt, Math.max(MIN_RATIO, seen), NEW_PART);
    }

    /** Notes a refusal because of the estimate, so that one which is too high comes down without answers. */
    void onRefused(OrganisationId organisation, Work.Prompt prompt) {
        move(organisation, prompt, MIN_RATIO, RELAXED_PART);
    }

    private void move(OrganisationId organisation, Work.Prompt prompt, double towards, double part) {
        Key key = new Key(organisation, prompt.model());
        double ratio = ratios.getOrDefault(key, FIRST_GUESS);
        ratios.put(key, ratio + part * (towards - ratio));
    }

    private record Key(OrganisationId organisation, ModelId model) {}
}
