package org.boragebarrow.standins.fault;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads fault switches: a JSON object whose fields are the components of a record, in snake case.
 *
 * <p>Unlike a message, a switch that is not known is an error, because a fault that is not injected proves nothing.
 */
public final class FaultSwitches {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    private FaultSwitches() {}

    /**
     * Returns the switches in the JSON object; those that it does not mention are zero or false.
     *
     * @throws IllegalArgumentException if the bytes are not a JSON object, a switch is unknown or a value is invalid
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (UnrecognizedPropertyException e) {
            throw new IllegalArgumentException(
                    "unknown fault switch \"" + e.getPropertyName() + "\", known are " + e.getKnownPropertyIds(), e);
        } catch (IOException e) {
            throw new IllegalArgumentException("invalid fault switches: " + e.getMessage(), e);
        }
    }

    /**
     * Returns the current switches with those of the JSON object replaced.
     *
     * @throws IllegalArgumentException as {@link #read} does
     */
    public static <T> T merge(T current, JsonNode json, Class<T> type) {
        ObjectNode merged = MAPPER.valueToTree(current);
        json.properties().forEach(field -> merged.set(field.getKey(), field.getValue()));
        try {
            return read(MAPPER.writeValueAsBytes(merged), type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid fault switches: " + json, e);
        }
    }
}
