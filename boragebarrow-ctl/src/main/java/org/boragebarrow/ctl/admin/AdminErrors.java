package org.boragebarrow.ctl.admin;

import com.fasterxml.jackson.databind.JsonNode;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.http.client.HttpAnswer;

/** Static functions that turn refusals of the admin API into failed commands. */
final class AdminErrors {
    private static final int PRECONDITION_FAILED = 412;

    private AdminErrors() {}

    /** Returns the answer if it tells of success. */
    static HttpAnswer checked(HttpAnswer answer) {
        if (answer.isSuccess()) {
            return answer;
        }
        JsonNode body = AdminJson.lenient(answer.text());
        String message = message(answer, body.path("error"));
        if (answer.status() == PRECONDITION_FAILED) {
            throw new CommandException(ExitCode.CONFLICT, message + present(body));
        }
        throw new CommandException(ExitCode.FAILED, message);
    }

    private static String message(HttpAnswer answer, JsonNode error) {
        if (!error.hasNonNull("kind")) {
            return "status " + answer.status() + ": " + answer.text().strip();
        }
        return error.path("kind").asText() + ": " + error.path("message").asText();
    }

    private static String present(JsonNode body) {
        JsonNode present = body.path("present");
        if (present.isMissingNode()) {
            return "; there is no such entry";
        }
        return "; version " + present.path("version").asLong() + " is " + present.path("value");
    }
}
