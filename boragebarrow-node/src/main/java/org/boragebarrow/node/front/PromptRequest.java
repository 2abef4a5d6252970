package org.boragebarrow.node.front;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.model.LengthClass;

/**
 * A prompt as it is sent to an engine.
 *
 * @param promptTokens length of the prompt as declared by the caller, or else estimated
 * @param body the caller's JSON body, unchanged
 */
record PromptRequest(ParsedPrompt parsed, int promptTokens, ImmutableList<ByteBuffer> body) {
    LengthClass lengthClass() {
        return LengthClass.of(promptTokens);
    }

    Work.Prompt work() {
        return new Work.Prompt(parsed.model(), promptTokens, parsed.maxTokens(), parsed.prefixHashes());
    }

    /** Returns the number of tokens of the prompt and of the longest permitted answer together. */
    long neededTokens() {
        return (long) promptTokens + parsed.maxTokens();
    }
}
