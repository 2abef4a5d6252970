package org.boragebarrow.decision.dispatch;

import java.time.Duration;

import org.boragebarrow.model.PrefixBlocks;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The settings of a dispatcher.
 *
 * @param lease how long a grant lasts unless its front renews it
 * @param interference the delay that a long prefill adds to a short prompt on the same engine
 * @param unknownEngine what is assumed of an engine that has not reported yet
 */
public record DispatchSettings(
        Bounds bounds,
        Order order,
        Cache cache,
        Shares shares,
        Duration lease,
        Duration interference,
        EngineDefaults unknownEngine,
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
        checkNotNull(unknownEngine);
        checkNotNull(policy);
    }

    /** Returns the settings that are in force unless a host's settings say otherwise. */
    public static DispatchSettings defaults() {
        return DEFAULTS;
    }

    /** Returns these settings with another policy. */
    public DispatchSettings withPolicy(PlacementPolicy other) {
        return new DispatchSettings(bounds, order, cache, shares, lease, interference, unknownEngine, other);
    }

    /** Returns these settings with other bounds. */
    public DispatchSettings withBounds(Bounds other) {
        return new DispatchSettings(other, order, cache, shares, lease, interference, unknownEngine, policy);
    }

    /** Returns these settings with another order. */
    public DispatchSettings withOrder(Order other) {
        return new DispatchSettings(bounds, other, cache, shares, lease, interference, unknownEngine, policy);
    }

    /** Returns these settings with other figures of the prefix caches. */
    public DispatchSettings withCache(Cache other) {
        return new DispatchSettings(bounds, order, other, shares, lease, interference, unknownEngine, policy);
    }

    /** Returns these settings with another lease. */
    public DispatchSettings withLease(Duration other) {
        return new DispatchSettings(bounds, order, cache, shares, other, interference, unknownEngine, policy);
    }

    /**
     * How much may wait or run.
     *
     * @param maxQueued the most requests that wait in the zone
     * @param maxQueuedPerOrganisation the most requests of one organisation that wait in the zone
     * @param maxServiceCalls the most calls in progress at one plain service target
     */
    public record Bounds(int maxQueued, int maxQueuedPerOrganisation, int maxServiceCalls) {
        public Bounds {
            checkArgument(maxQueued > 0, "queue bound must be positive: %s", maxQueued);
            checkArgument(maxQueuedPerOrganisation > 0, "queue bound must be positive: %s", maxQueuedPerOrganisation);
            checkArgument(maxServiceCalls > 0, "call bound must be positive: %s", maxServiceCalls);
        }
    }

    /**
     * How the length classes share the engines.
     *
     * @param shortSlotShare the part of an engine's batch slots that only short prompts use
     * @param shortMemoryShare the part of an engine's KV memory that only short prompts use
     * @param passLimit the grants of its class that may pass a request over before it goes first
     * @param lookahead the requests of a class that are tried when the first does not fit
     */
    public record Order(double shortSlotShare, double shortMemoryShare, int passLimit, int lookahead) {
        public Order {
            checkArgument(shortSlotShare >= 0 && shortSlotShare < 1, "not a share: %s", shortSlotShare);
            checkArgument(shortMemoryShare >= 0 && shortMemoryShare < 1, "not a share: %s", shortMemoryShare);
            checkArgument(passLimit > 0, "pass limit must be positive: %s", passLimit);
            checkArgument(lookahead > 0, "lookahead must be positive: %s", lookahead);
        }
    }

    /**
     * The prefix caches.
     *
     * @param blockTokens the tokens of one prefix block
     * @param maxBlocks the prefix blocks that are remembered
     */
    public record Cache(int blockTokens, int maxBlocks) {
        public Cache {
            checkArgument(blockTokens > 0, "block must be positive: %s", blockTokens);
            checkArgument(maxBlocks > 0, "bound must be positive: %s", maxBlocks);
        }
    }

    /**
     * How the zones split an allowance.
     *
     * @param burst how long an unused rate may be saved up for
     * @param floor the part of an equal share that a zone without demand keeps
     */
    public record Shares(Duration burst, double floor) {
        public Shares {
            checkArgument(burst.toMillis() > 0, "burst must be positive: %s", burst);
            checkArgument(floor >= 0 && floor <= 1, "not a part: %s", floor);
        }
    }

    /** Cautious figures of an engine that has not reported yet. */
    public record EngineDefaults(
            long capacityTokens, int batchSlots, double prefillTokensPerSecond, double decodeTokensPerSecond) {
        public EngineDefaults {
            checkArgument(capacityTokens > 0, "capacity must be positive: %s", capacityTokens);
            checkArgument(batchSlots > 0, "slots must be positive: %s", batchSlots);
            checkArgument(prefillTokensPerSecond > 0, "rate must be positive: %s", prefillTokensPerSecond);
            checkArgument(decodeTokensPerSecond > 0, "rate must be positive: %s", decodeTokensPerSecond);
        }
    }
}
