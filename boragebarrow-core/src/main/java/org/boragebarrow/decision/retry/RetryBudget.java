package org.boragebarrow.decision.retry;

import java.util.LinkedHashMap;
import java.util.Map;

import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Keeps retries to a part of the traffic, for each organisation and each target.
 *
 * <p>Not thread-safe. Each first attempt earns a part of a retry, up to a bound; each retry costs one on both sides.
 */
public final class RetryBudget {
    private static final int MAX_ENTRIES = 10_000;

    private final double part;
    private final double saved;
    private final Map<OrganisationId, Double> organisations = bounded();
    private final Map<TargetId, Double> targets = bounded();

    /**
     * Creates a budget in which everybody starts with all the retries that can be saved up.
     *
     * @param part the retries that one first attempt earns
     * @param saved the most retries that can be saved up
     */
    public RetryBudget(double part, double saved) {
        checkArgument(part >= 0 && part <= 1, "part must be between 0 and 1: %s", part);
        checkArgument(saved >= 1, "less than one retry can be saved up: %s", saved);
        this.part = part;
        this.saved = saved;
    }

    /** Returns a budget of one retry for ten first attempts. */
    public static RetryBudget tenth() {
        return new RetryBudget(0.1, 10);
    }

    /** Notes a first attempt. */
    public void onFirstAttempt(OrganisationId organisation, TargetId target) {
        organisations.merge(checkNotNull(organisation), saved, (old, s) -> Math.min(s, old + part));
        targets.merge(checkNotNull(target), saved, (old, s) -> Math.min(s, old + part));
    }

    /** Pays for a retry after the target failed; returns false, and takes nothing, if the budget does not allow it. */
    public boolean tryRetry(OrganisationId organisation, TargetId failed) {
        double mine = organisations.getOrDefault(checkNotNull(organisation), saved);
        double its = targets.getOrDefault(checkNotNull(failed), saved);
        if (mine < 1 || its < 1) {
            return false;
        }
        organisations.put(organisation, mine - 1);
        targets.put(failed, its - 1);
        return true;
    }

    private static <K> Map<K, Double> bounded() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Double> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }
}
