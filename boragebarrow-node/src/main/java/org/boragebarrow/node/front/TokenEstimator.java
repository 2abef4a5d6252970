package org.boragebarrow.node.front;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

/**
 * Estimates prompt tokens from bytes, by a ratio for each organisation and model that finished requests correct.
 *
 * <p>Thread-safe. Remembers a bounded number of ratios, the latest used.
 */
final class TokenEstimator {
    private static final double DEFAULT_BYTES_PER_TOKEN = 4.0;
    private static final double LEAST_BYTES_PER_TOKEN = 0.5;
    private static final double MOST_BYTES_PER_TOKEN = 16.0;
    private static final double NEW_SHARE = 0.1;
    private static final int MAX_RATIOS = 10_000;

    private final Cache<Key, Double> ratios =
            CacheBuilder.newBuilder().maximumSize(MAX_RATIOS).build();

    private record Key(OrganisationId organisation, ModelId model) {}

    int estimate(OrganisationId organisation, ModelId model, int bytes) {
        return (int) Math.ceil(bytes / ratio(new Key(organisation, model)));
    }

    private double ratio(Key key) {
        Double known = ratios.getIfPresent(key);
        return known == null ? DEFAULT_BYTES_PER_TOKEN : known;
    }

    void correct(OrganisationId organisation, ModelId model, int bytes, int tokens) {
        if (bytes <= 0 || tokens <= 0) {
            return;
        }
        Key key = new Key(organisation, model);
        double seen = Math.clamp((double) bytes / tokens, LEAST_BYTES_PER_TOKEN, MOST_BYTES_PER_TOKEN);
        ratios.put(key, ratio(key) * (1 - NEW_SHARE) + seen * NEW_SHARE);
    }
}
