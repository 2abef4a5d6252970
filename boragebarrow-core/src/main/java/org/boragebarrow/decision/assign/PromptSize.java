package org.boragebarrow.decision.assign;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The size of a prompt and of its answer.
 *
 * @param promptTokens tokens to read
 * @param answerTokens tokens that are expected to be written
 */
public record PromptSize(long promptTokens, long answerTokens) {
    public PromptSize {
        checkArgument(promptTokens >= 0, "negative prompt: %s", promptTokens);
        checkArgument(answerTokens >= 0, "negative answer: %s", answerTokens);
    }

    /** Returns the tokens of context that the request takes up at its end. */
    public long total() {
        return promptTokens + answerTokens;
    }
}
