package org.boragebarrow.decision.allowance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * Charges requests to the allowances of their organisations in one availability zone.
 *
 * <p>Not thread-safe. A request is charged when it is admitted and settled when it ends. The zone enforces its {@link
 * ZoneShares share} of the rate and of the concurrency.
 */
public final class AllowanceLedger {
    private static final double SECONDS_PER_MINUTE = 60;
    private static final Duration DEMAND_WINDOW = Duration.ofSeconds(5);

    private final ZoneShares shares;
    private final Duration burst;
    private final Map<OrganisationId, Account> accounts = new HashMap<>();

    /**
     * Creates a ledger without accounts.
     *
     * @param burst the time over which unused rate accumulates
     */
    public AllowanceLedger(ZoneShares shares, Duration burst) {
        this.shares = checkNotNull(shares);
        this.burst = checkNotNull(burst);
        checkArgument(!burst.isNegative() && !burst.isZero(), "burst must be positive: %s", burst);
    }

    /**
     * Admits and charges a request, or returns the delay after which its organisation may retry.
     *
     * <p>The request counts as demand in both cases.
     */
    public Optional<Duration> admit(OrganisationId organisation, Allowance allowance, long tokens, long nowNanos) {
        checkArgument(tokens >= 0, "tokens must not be negative: %s", tokens);
        Account account = account(organisation);
        account.demand.add(tokens, nowNanos);
        double share = shares.share(organisation, SECONDS_PER_MINUTE * account.demand.ratePerSecond(nowNanos));
        TokenBucket bucket = account.bucket(allowance, share, burst, nowNanos);
        if (account.inProgress >= concurrency(allowance, share)) {
            return Optional.of(burst);
        }
        if (!bucket.isPositive(nowNanos)) {
            return Optional.of(bucket.timeUntilPositive(nowNanos));
        }
        bucket.consume(tokens);
        account.inProgress++;
        return Optional.empty();
    }

    /** Counts a request in progress that another dispatcher admitted. */
    public void addInProgress(OrganisationId organisation) {
        account(organisation).inProgress++;
    }

    /** Ends a request and refunds the tokens that it was charged but did not use. */
    public void settle(OrganisationId organisation, long unusedTokens) {
        Account account = accounts.get(organisation);
        checkState(account != null && account.inProgress > 0, "%s has no request in progress", organisation);
        account.inProgress--;
        account.bucket.ifPresent(b -> b.refund(Math.max(0, unusedTokens)));
    }

    /** Returns the number of the organisation's admitted requests that have not ended. */
    public int inProgress(OrganisationId organisation) {
        Account account = accounts.get(organisation);
        return account == null ? 0 : account.inProgress;
    }

    /** Returns the demand of each organisation in this zone, in tokens per minute. */
    public ImmutableMap<OrganisationId, Long> demand(long nowNanos) {
        ImmutableMap.Builder<OrganisationId, Long> demand = ImmutableMap.builder();
        for (Map.Entry<OrganisationId, Account> entry : accounts.entrySet()) {
            long perMinute =
                    Math.round(SECONDS_PER_MINUTE * entry.getValue().demand.ratePerSecond(nowNanos));
            if (perMinute > 0) {
                demand.put(entry.getKey(), perMinute);
            }
        }
        return demand.buildOrThrow();
    }

    private static int concurrency(Allowance allowance, double share) {
        return Math.max(1, (int) Math.floor(allowance.maxConcurrent() * share + 1e-9));
    }

    private Account account(OrganisationId organisation) {
        return accounts.computeIfAbsent(checkNotNull(organisation), o -> new Account());
    }

    private static final class Account {
        private final RateMeter demand = new RateMeter(DEMAND_WINDOW);
        private Optional<TokenBucket> bucket = Optional.empty();
        private int inProgress;

        TokenBucket bucket(Allowance allowance, double share, Duration burst, long nowNanos) {
            double rate = allowance.tokensPerMinute() * share / SECONDS_PER_MINUTE;
            double capacity = rate * burst.toMillis() / 1e3;
            if (bucket.isEmpty()) {
                bucket = Optional.of(new TokenBucket(rate, capacity, nowNanos));
            }
            TokenBucket b = bucket.get();
            b.setRate(rate, capacity, nowNanos);
            return b;
        }
    }
}
