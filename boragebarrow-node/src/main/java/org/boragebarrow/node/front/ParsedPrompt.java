package org.boragebarrow.node.front;

import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.ModelId;

/**
 * The fields of a completion request that the front end uses.
 *
 * @param textBytes UTF-8 bytes of the prompt or of all messages
 * @param maxTokens maximum length of the answer, in tokens
 * @param prefixHashes chained hashes of the leading blocks of the prompt
 */
record ParsedPrompt(
        ModelId model, int textBytes, int maxTokens, boolean stream, boolean chat, ImmutableLongArray prefixHashes) {}
