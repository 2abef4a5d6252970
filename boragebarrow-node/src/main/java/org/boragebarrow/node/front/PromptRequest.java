package org.boragebarrow.node.front;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.model.LengthClass;

/**
 * A prompt as it goes to an engine.
 *
 * @param promptTokens as the caller declared them, or estimated
 * @param body the caller's JSON body, unchanged
 */
record PromptRequest(ParsedPrompt parsed, int promptTokens, ImmutableList<ByteBuffer> body) {
    LengthClass lengthClass() {
        return LengthClass.of(promptTokens);
    }

    Work.Prompt work() {
        return new Work.Prompt(parsed.model(), promptTokens, parsed.maxTokens(), parsed.prefix());
    }

    /** Returns the tokens that the prompt and its longest answer need together. */
    long neededTokens() {
        return (long) promptTokens + parsed.maxTokens();
    }
}
