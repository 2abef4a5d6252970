package org.boragebarrow.ctl.admin;

import com.fasterxml.jackson.databind.JsonNode;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.http.client.HttpAnswer;

/** Static functions that convert error responses of the admin API to exceptions. */
final class AdminErrors {
    private static final int PRECONDITION_FAILED = 412;

    private AdminErrors() {}

    /** Returns the response if its status is a success; throws {@link CommandException} otherwise. */
    static HttpAnswer requireSuccess(HttpAnswer answer) {
        if (answer.isSuccess()) {
            return answer;
        }
        JsonNode body = AdminJson.parseOrMissing(answer.text());
        String message = message(answer, body.path("error"));
        if (answer.status() == PRECONDITION_FAILED) {
            throw new CommandException(ExitCode.CONFLICT, message + describeCurrentEntry(body));
        }
        throw new CommandException(ExitCode.FAILED, message);
    }

    private static String message(HttpAnswer answer, JsonNode error) {
        if (!error.hasNonNull("kind")) {
            return "status " + answer.status() + ": " + answer.text().strip();
        }
        return error.path("kind").asText() + ": " + error.path("message").asText();
    }

    private static String describeCurrentEntry(JsonNode body) {
        JsonNode current = body.path("present");
        if (current.isMissingNode()) {
            return "; there is no such entry";
        }
        return "; version " + current.path("version").asLong() + " is " + current.path("value");
    }
}
