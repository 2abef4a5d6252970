package org.boragebarrow.trials.soak;

import java.net.http.HttpResponse;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Static methods that parse the responses that callers receive. */
final class CallerResponses {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA_PREFIX = "data: ";

    private CallerResponses() {}

    static JsonNode parseJson(HttpResponse<String> response) {
        return parseJson(response.body());
    }

    private static JsonNode parseJson(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("response is not JSON: " + text, e);
        }
    }

    /** Returns the error kind of a failed response, or its status if it has no error kind. */
    static String errorKind(HttpResponse<String> response) {
        JsonNode kind = parseJson(response).path("error").path("kind");
        return kind.isMissingNode() ? Integer.toString(response.statusCode()) : kind.asText();
    }

    /** Returns whether the request ran according to the error body: "no", "yes" or "unknown"; empty if it has none. */
    static String executionStatus(HttpResponse<String> response) {
        return parseJson(response).path("error").path("ran").asText("");
    }

    /**
     * A streamed completion.
     *
     * @param done whether the stream ended with {@code [DONE]}
     * @param errorKind the error kind of the error event; empty if there was none
     */
    record StreamedCompletion(String text, boolean done, String errorKind) {}

    static StreamedCompletion parseStream(HttpResponse<String> response) {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        boolean errorReceived = false;
        String errorKind = "";
        for (String line : response.body().lines().toList()) {
            if (line.equals("event: error")) {
                errorReceived = true;
            }
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            String data = line.substring(DATA_PREFIX.length());
            if (data.equals("[DONE]")) {
                done = true;
            } else if (errorReceived) {
                errorKind = parseJson(data).path("error").path("kind").asText();
            } else {
                text.append(parseJson(data).path("choices").path(0).path("text").asText());
            }
        }
        return new StreamedCompletion(text.toString(), done, errorKind);
    }
}
