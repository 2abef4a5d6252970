package org.boragebarrow.decision.assign;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The size of a prompt and of its answer.
 *
 * @param promptTokens tokens to prefill
 * @param answerTokens expected number of tokens to decode
 */
public record PromptSize(long promptTokens, long answerTokens) {
    public PromptSize {
        checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
        checkArgument(answerTokens >= 0, "answerTokens must not be negative: %s", answerTokens);
    }

    /** Returns the tokens of context that the request occupies at its end. */
    public long totalTokens() {
        return promptTokens + answerTokens;
    }
}
