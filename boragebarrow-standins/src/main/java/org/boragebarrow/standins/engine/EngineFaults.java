package org.boragebarrow.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The faults that an emulated engine shows.
 *
 * @param slowFactor by what each step takes longer
 * @param refuse whether submissions and reservations are refused
 * @param leaving whether the engine takes no new work because it goes away
 * @param frozen whether the engine does nothing and answers nothing
 * @param loseCancelAnswers whether a cancellation takes effect but its answer is lost
 * @param dropAfterTokens after how many more tokens one stream's connection is reset; 0 for never
 * @param dieAfterTokens after how many more tokens the engine loses all its state; 0 for never
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

    /** Returns the faults of an engine in good health: none. */
    public static EngineFaults none() {
        return new EngineFaults(1, false, false, false, false, 0, 0);
    }

    /** Returns these faults changed by the fields that the JSON object has. */
    EngineFaults with(JsonNode json) {
        return new EngineFaults(
                json.path("slow_factor").asDouble(slowFactor),
                json.path("refuse").asBoolean(refuse),
                json.path("leaving").asBoolean(leaving),
                json.path("frozen").asBoolean(frozen),
                json.path("lose_cancel_answers").asBoolean(loseCancelAnswers),
                json.path("drop_after_tokens").asLong(dropAfterTokens),
                json.path("die_after_tokens").asLong(dieAfterTokens));
    }
}
