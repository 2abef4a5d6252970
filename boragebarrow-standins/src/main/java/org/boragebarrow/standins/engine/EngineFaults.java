package org.boragebarrow.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import org.boragebarrow.standins.fault.FaultSwitches;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The faults that an emulated engine injects.
 *
 * @param slowFactor the factor by which the duration of each step is multiplied
 * @param refuse whether submissions and reservations are refused
 * @param leaving whether the engine drains before it stops: it refuses submissions and reservations
 * @param frozen whether the engine is suspended: it runs no steps and defers all calls except changes of its faults
 * @param loseCancelAnswers whether a cancellation is applied but its response is lost
 * @param dropAfterTokens the number of further streamed tokens after which the connection of one stream is reset; 0 for
 *     never
 * @param dieAfterTokens the number of further tokens after which the engine loses all its state; 0 for never
 */
public record EngineFaults(
        double slowFactor,
        boolean refuse,
        boolean leaving,
        boolean frozen,
        boolean loseCancelAnswers,
        long dropAfterTokens,
        long dieAfterTokens) {
    public EngineFaults {
        checkArgument(slowFactor > 0, "slow factor must be positive: %s", slowFactor);
        checkArgument(dropAfterTokens >= 0, "negative token count: %s", dropAfterTokens);
        checkArgument(dieAfterTokens >= 0, "negative token count: %s", dieAfterTokens);
    }

    /** Returns the settings that inject no faults. */
    public static EngineFaults none() {
        return new EngineFaults(1, false, false, false, false, 0, 0);
    }

    /**
     * Returns a copy of these faults in which the fields of the JSON object replace the current values.
     *
     * @throws IllegalArgumentException if a field is not a switch or its value is invalid
     */
    EngineFaults with(JsonNode json) {
        return FaultSwitches.merge(this, json, EngineFaults.class);
    }
}
