package org.boragebarrow.standins.engine;

import java.time.Duration;

import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request to an engine to run a sequence.
 *
 * @param blockHashes the chained hashes of the prompt's leading blocks
 * @param gang whether the sequence uses the reservation made for its attempt
 */
record SequenceRequest(
        AttemptId attempt,
        ModelId model,
        long bodyHash,
        ImmutableLongArray blockHashes,
        int promptTokens,
        int maxTokens,
        int firstIndex,
        int priority,
        Duration remaining,
        boolean gang) {
    SequenceRequest {
        checkArgument(promptTokens >= 0, "negative prompt tokens: %s", promptTokens);
        checkArgument(maxTokens > 0, "answer tokens must be positive: %s", maxTokens);
        checkArgument(firstIndex >= 0 && firstIndex <= maxTokens, "first index out of range: %s", firstIndex);
    }

    /** Returns the memory that the complete sequence needs, in tokens. */
    long totalTokens() {
        return (long) promptTokens + maxTokens;
    }
}
