package org.boragebarrow.trials.soak;

import java.net.http.HttpResponse;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads the answers that callers get. */
final class Answer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";

    private Answer() {}

    static JsonNode json(HttpResponse<String> answer) {
        return json(answer.body());
    }

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + text, e);
        }
    }

    /** Returns the kind of a failure, or the status if the answer has none. */
    static String kind(HttpResponse<String> answer) {
        JsonNode kind = json(answer).path("error").path("kind");
        return kind.isMissingNode() ? Integer.toString(answer.statusCode()) : kind.asText();
    }

    static String ran(HttpResponse<String> answer) {
        return json(answer).path("error").path("ran").asText("");
    }

    /** A streamed completion. */
    record Streamed(String text, boolean ended, String error) {}

    static Streamed streamed(HttpResponse<String> answer) {
        StringBuilder text = new StringBuilder();
        boolean ended = false;
        boolean failing = false;
        String error = "";
        for (String line : answer.body().lines().toList()) {
            if (line.equals("event: error")) {
                failing = true;
            }
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length());
            if (data.equals("[DONE]")) {
                ended = true;
            } else if (failing) {
                error = json(data).path("error").path("kind").asText();
            } else {
                text.append(json(data).path("choices").path(0).path("text").asText());
            }
        }
        return new Streamed(text.toString(), ended, error);
    }
}
