package org.boragebarrow.http.platform;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

import static com.google.common.base.Preconditions.checkNotNull;

/** Static methods that convert the platform's messages to and from JSON. */
public final class PlatformJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private PlatformJson() {}

    /**
     * Serializes a message to UTF-8 JSON.
     *
     * @throws IllegalArgumentException if the object cannot be serialized
     */
    public static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(checkNotNull(message));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be serialized to JSON: " + message, e);
        }
    }

    /**
     * Parses a message; unknown properties are ignored.
     *
     * @throws IllegalArgumentException if the bytes are not a message of this type
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
    }
}
