package org.boragebarrow.trials.soak;

import java.net.http.HttpResponse;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Static methods that parse the responses that callers receive. */
final class Answer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";

    private Answer() {}

    static JsonNode json(HttpResponse<String> response) {
        return json(response.body());
    }

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("response is not JSON: " + text, e);
        }
    }

    /** Returns the error kind of a failed response, or its status if it has no error kind. */
    static String kind(HttpResponse<String> response) {
        JsonNode kind = json(response).path("error").path("kind");
        return kind.isMissingNode() ? Integer.toString(response.statusCode()) : kind.asText();
    }

    /** Returns whether the request ran according to the error body: "no", "yes" or "unknown"; empty if it has none. */
    static String ran(HttpResponse<String> response) {
        return json(response).path("error").path("ran").asText("");
    }

    /**
     * A streamed completion.
     *
     * @param ended whether the stream ended with {@code [DONE]}
     * @param error the error kind of the error event; empty if there was none
     */
    record Streamed(String text, boolean ended, String error) {}

    static Streamed streamed(HttpResponse<String> response) {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        boolean errorReceived = false;
        String errorKind = "";
        for (String line : response.body().lines().toList()) {
            if (line.equals("event: error")) {
                errorReceived = true;
            }
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length());
            if (data.equals("[DONE]")) {
                done = true;
            } else if (errorReceived) {
                errorKind = json(data).path("error").path("kind").asText();
            } else {
                text.append(json(data).path("choices").path(0).path("text").asText());
            }
        }
        return new Streamed(text.toString(), done, errorKind);
    }
}
