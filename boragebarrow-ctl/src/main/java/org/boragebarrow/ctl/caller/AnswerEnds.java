package org.boragebarrow.ctl.caller;

import java.io.IOException;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCallException;

/** Static functions that derive the end of a request from its response or failure. */
final class AnswerEnds {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AnswerEnds() {}

    /** Returns the end of a call of a plain service that has received a complete response. */
    static AnswerEnd of(HttpAnswer answer) {
        return answer.isSuccess() ? new AnswerEnd.Complete(0, 0) : refused(answer.status(), answer.text());
    }

    /** Returns the end of a failed exchange. */
    static AnswerEnd of(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean sent = !(cause instanceof HttpCallException callFailure) || callFailure.sent();
        return new AnswerEnd.Cut(sent, String.valueOf(cause.getMessage()));
    }

    /** Decodes the body of an error response, which may not be JSON. */
    static AnswerEnd refused(int status, String body) {
        JsonNode fields = parseOrMissing(body).path("error");
        return new AnswerEnd.Refused(
                status,
                fields.path("kind").asText("STATUS_" + status),
                fields.path("ran").asText(""),
                fields.path("message").asText(body));
    }

    private static JsonNode parseOrMissing(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }
}
