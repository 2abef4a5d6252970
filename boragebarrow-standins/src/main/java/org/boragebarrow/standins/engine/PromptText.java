package org.boragebarrow.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.http.engine.EngineMessages;
import org.boragebarrow.model.PrefixBlocks;

/** Static functions that extract the prompt from a caller's request body. */
final class PromptText {
    private PromptText() {}

    /** Returns the hashes of the prompt's leading blocks; none if the body is not a JSON completion request. */
    static ImmutableLongArray blockHashes(byte[] body, int length) {
        PrefixBlocks blocks = new PrefixBlocks();
        try {
            JsonNode request = EngineMessages.parse(body, length);
            request.path("messages").forEach(message -> addMessage(message, blocks));
            blocks.add(request.path("prompt").asText());
        } catch (IllegalArgumentException e) {
            return ImmutableLongArray.of();
        }
        return blocks.hashes();
    }

    private static void addMessage(JsonNode message, PrefixBlocks blocks) {
        message.properties().forEach(field -> {
            if (field.getKey().equals("role") || field.getKey().equals("content")) {
                blocks.add(field.getValue().asText());
            }
        });
    }
}
