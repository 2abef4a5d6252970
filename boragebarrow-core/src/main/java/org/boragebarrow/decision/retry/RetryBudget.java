package org.boragebarrow.decision.retry;

import java.util.LinkedHashMap;
import java.util.Map;

import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Limits retries to a fraction of the first attempts, for each organisation and each target.
 *
 * <p>Not thread-safe. Each first attempt adds a fraction of a retry to the balances of its organisation and its target,
 * up to a bound; each retry subtracts one from both balances.
 */
public final class RetryBudget {
    private static final int MAX_ENTRIES = 10_000;

    private final double retryRatio;
    private final double maxBalance;
    private final Map<OrganisationId, Double> organisationBalances = bounded();
    private final Map<TargetId, Double> targetBalances = bounded();

    /**
     * Creates a budget in which each organisation and each target starts with the maximum balance.
     *
     * @param retryRatio the retries that each first attempt adds
     * @param maxBalance the most retries that a balance holds
     */
    public RetryBudget(double retryRatio, double maxBalance) {
        checkArgument(retryRatio >= 0 && retryRatio <= 1, "retry ratio must be between 0 and 1: %s", retryRatio);
        checkArgument(maxBalance >= 1, "maximum balance must be at least 1: %s", maxBalance);
        this.retryRatio = retryRatio;
        this.maxBalance = maxBalance;
    }

    /** Returns a budget of one retry per ten first attempts, with a maximum balance of ten retries. */
    public static RetryBudget tenPercent() {
        return new RetryBudget(0.1, 10);
    }

    /** Records a first attempt. */
    public void onFirstAttempt(OrganisationId organisation, TargetId target) {
        organisationBalances.merge(
                checkNotNull(organisation), maxBalance, (balance, max) -> Math.min(max, balance + retryRatio));
        targetBalances.merge(checkNotNull(target), maxBalance, (balance, max) -> Math.min(max, balance + retryRatio));
    }

    /** Charges a retry after the target failed; returns false, without a charge, if either balance is below one. */
    public boolean tryRetry(OrganisationId organisation, TargetId failed) {
        double organisationBalance = organisationBalances.getOrDefault(checkNotNull(organisation), maxBalance);
        double targetBalance = targetBalances.getOrDefault(checkNotNull(failed), maxBalance);
        if (organisationBalance < 1 || targetBalance < 1) {
            return false;
        }
        organisationBalances.put(organisation, organisationBalance - 1);
        targetBalances.put(failed, targetBalance - 1);
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
