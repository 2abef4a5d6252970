package org.boragebarrow.ctl.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.boragebarrow.model.ModelId;

/** Static functions that encode completion requests. */
public final class CompletionBodies {
    private CompletionBodies() {}

    /** Returns the JSON of a streamed completion request. */
    public static String of(ModelId model, String prompt, int maxTokens) {
        // The prompt precedes every field that varies, so that equal prompt prefixes give equal body prefixes.
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", model.value());
        body.put("stream", true);
        body.put("prompt", prompt);
        body.put("max_tokens", maxTokens);
        return body.toString();
    }
}
