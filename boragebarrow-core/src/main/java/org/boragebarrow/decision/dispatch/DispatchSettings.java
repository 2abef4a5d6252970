package org.boragebarrow.decision.dispatch;

import java.time.Duration;

import org.boragebarrow.model.PrefixBlocks;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The settings of a dispatcher.
 *
 * @param lease how long a grant is valid unless its front renews it
 * @param interference the delay that a long prefill adds to a short prompt on the same engine
 * @param engineDefaults the values assumed for an engine that has not reported its load yet
 */
public record DispatchSettings(
        Bounds bounds,
        Order order,
        Cache cache,
        Shares shares,
        Duration lease,
        Duration interference,
        EngineDefaults engineDefaults,
        PlacementPolicy policy) {
    private static final DispatchSettings DEFAULTS = new DispatchSettings(
            new Bounds(4_096, 1_024, 64),
            new Order(0.25, 0.1, 64, 4),
            new Cache(PrefixBlocks.BLOCK_TOKENS, 200_000),
            new Shares(Duration.ofSeconds(3), 0.25),
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            new EngineDefaults(65_536, 4, 2_000, 20),
            PlacementPolicy.PREDICTED_COST);

    public DispatchSettings {
        checkNotNull(bounds);
        checkNotNull(order);
        checkNotNull(cache);
        checkNotNull(shares);
        checkArgument(lease.toMillis() > 0, "lease must be positive: %s", lease);
        checkArgument(!interference.isNegative(), "interference must not be negative: %s", interference);
        checkNotNull(engineDefaults);
        checkNotNull(policy);
    }

    /** Returns the settings that apply unless a host's settings override them. */
    public static DispatchSettings defaults() {
        return DEFAULTS;
    }

    /** Returns these settings with another policy. */
    public DispatchSettings withPolicy(PlacementPolicy other) {
        return new DispatchSettings(bounds, order, cache, shares, lease, interference, engineDefaults, other);
    }

    /** Returns these settings with other bounds. */
    public DispatchSettings withBounds(Bounds other) {
        return new DispatchSettings(other, order, cache, shares, lease, interference, engineDefaults, policy);
    }

    /** Returns these settings with another order. */
    public DispatchSettings withOrder(Order other) {
        return new DispatchSettings(bounds, other, cache, shares, lease, interference, engineDefaults, policy);
    }

    /** Returns these settings with other prefix cache settings. */
    public DispatchSettings withCache(Cache other) {
        return new DispatchSettings(bounds, order, other, shares, lease, interference, engineDefaults, policy);
    }

    /** Returns these settings with another lease. */
    public DispatchSettings withLease(Duration other) {
        return new DispatchSettings(bounds, order, cache, shares, other, interference, engineDefaults, policy);
    }

    /**
     * Limits on queued and running requests.
     *
     * @param maxQueued the maximum number of queued requests in the zone
     * @param maxQueuedPerOrganisation the maximum number of queued requests of one organisation in the zone
     * @param maxServiceCalls the maximum number of concurrent calls at one target of a plain service
     */
    public record Bounds(int maxQueued, int maxQueuedPerOrganisation, int maxServiceCalls) {
        public Bounds {
            checkArgument(maxQueued > 0, "maxQueued must be positive: %s", maxQueued);
            checkArgument(
                    maxQueuedPerOrganisation > 0,
                    "maxQueuedPerOrganisation must be positive: %s",
                    maxQueuedPerOrganisation);
            checkArgument(maxServiceCalls > 0, "maxServiceCalls must be positive: %s", maxServiceCalls);
        }
    }

    /**
     * How prompts are ordered and how the length classes share the engines.
     *
     * @param shortSlotFraction the fraction of an engine's batch slots that is reserved for short prompts
     * @param shortMemoryFraction the fraction of an engine's KV memory that is reserved for short prompts
     * @param maxOvertakes how many later grants of its queue may overtake a request before it is granted next
     * @param lookahead how many requests from the head of a queue are tried before the queue is treated as blocked
     */
    public record Order(double shortSlotFraction, double shortMemoryFraction, int maxOvertakes, int lookahead) {
        public Order {
            checkArgument(
                    shortSlotFraction >= 0 && shortSlotFraction < 1,
                    "shortSlotFraction must be in [0, 1): %s",
                    shortSlotFraction);
            checkArgument(
                    shortMemoryFraction >= 0 && shortMemoryFraction < 1,
                    "shortMemoryFraction must be in [0, 1): %s",
                    shortMemoryFraction);
            checkArgument(maxOvertakes > 0, "maxOvertakes must be positive: %s", maxOvertakes);
            checkArgument(lookahead > 0, "lookahead must be positive: %s", lookahead);
        }
    }

    /**
     * The tracking of the prefix caches.
     *
     * @param blockTokens the number of tokens in a prefix block
     * @param maxBlocks the maximum number of prefix blocks that are tracked
     */
    public record Cache(int blockTokens, int maxBlocks) {
        public Cache {
            checkArgument(blockTokens > 0, "blockTokens must be positive: %s", blockTokens);
            checkArgument(maxBlocks > 0, "maxBlocks must be positive: %s", maxBlocks);
        }
    }

    /**
     * How an allowance is divided between the zones.
     *
     * @param burst the length of time over which unused rate accumulates
     * @param floor the fraction of an equal share that a zone without demand keeps
     */
    public record Shares(Duration burst, double floor) {
        public Shares {
            checkArgument(burst.toMillis() > 0, "burst must be positive: %s", burst);
            checkArgument(floor >= 0 && floor <= 1, "floor must be in [0, 1]: %s", floor);
        }
    }

    /** Conservative values that are assumed for an engine that has not reported its load yet. */
    public record EngineDefaults(
            long capacityTokens, int batchSlots, double prefillTokensPerSecond, double decodeTokensPerSecond) {
        public EngineDefaults {
            checkArgument(capacityTokens > 0, "capacityTokens must be positive: %s", capacityTokens);
            checkArgument(batchSlots > 0, "batchSlots must be positive: %s", batchSlots);
            checkArgument(
                    prefillTokensPerSecond > 0, "prefillTokensPerSecond must be positive: %s", prefillTokensPerSecond);
            checkArgument(
                    decodeTokensPerSecond > 0, "decodeTokensPerSecond must be positive: %s", decodeTokensPerSecond);
        }
    }
}
