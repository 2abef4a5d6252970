package org.boragebarrow.node.front;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

/**
 * Estimates the number of prompt tokens from the prompt's bytes, with a ratio for each organisation and model that is
 * updated with the token counts of completed requests.
 *
 * <p>Thread-safe. Caches a bounded number of ratios; the least recently used ones are evicted.
 */
final class TokenEstimator {
    private static final double DEFAULT_BYTES_PER_TOKEN = 4.0;
    private static final double MIN_BYTES_PER_TOKEN = 0.5;
    private static final double MAX_BYTES_PER_TOKEN = 16.0;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final int MAX_RATIOS = 10_000;

    private final Cache<Key, Double> ratios =
            CacheBuilder.newBuilder().maximumSize(MAX_RATIOS).build();

    private record Key(OrganisationId organisation, ModelId model) {}

    int estimate(OrganisationId organisation, ModelId model, int bytes) {
        return (int) Math.ceil(bytes / ratio(new Key(organisation, model)));
    }

    private double ratio(Key key) {
        Double cached = ratios.getIfPresent(key);
        return cached == null ? DEFAULT_BYTES_PER_TOKEN : cached;
    }

    void update(OrganisationId organisation, ModelId model, int bytes, int tokens) {
        if (bytes <= 0 || tokens <= 0) {
            return;
        }
        Key key = new Key(organisation, model);
        double observed = Math.clamp((double) bytes / tokens, MIN_BYTES_PER_TOKEN, MAX_BYTES_PER_TOKEN);
        ratios.put(key, ratio(key) * (1 - SMOOTHING_FACTOR) + observed * SMOOTHING_FACTOR);
    }
}
