package org.boragebarrow.http.platform;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

import static com.google.common.base.Preconditions.checkNotNull;

/** Static methods that turn the platform's messages into JSON and back. */
public final class PlatformJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private PlatformJson() {}

    /** Returns the message as UTF-8 JSON. */
    public static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(checkNotNull(message));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a message: " + message, e);
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
            throw new IllegalArgumentException("not a " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
    }
}
