package org.boragebarrow.ctl.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;

/** Static functions that read the admin API's JSON. */
public final class AdminJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AdminJson() {}

    /** Parses a response body; throws {@link CommandException} if it is not valid JSON. */
    public static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCode.FAILED, "the host's response is not valid JSON: " + e.getOriginalMessage());
        }
    }

    /** Parses a response body; returns a missing node if it is not valid JSON. */
    static JsonNode parseOrMissing(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the JSON formatted over several lines. */
    public static String pretty(JsonNode node) {
        return node.toPrettyString();
    }
}
