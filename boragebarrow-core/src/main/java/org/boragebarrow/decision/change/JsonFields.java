package org.boragebarrow.decision.change;

import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkArgument;

/** Static methods that read and validate JSON fields; the message of an error names the invalid field. */
final class JsonFields {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .build();

    private JsonFields() {}

    static JsonNode parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            checkArgument(node != null && node.isObject(), "not a JSON object");
            return node;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    static String print(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Throws if the object has a field that is not in the given set. */
    static void checkFields(JsonNode object, ImmutableSet<String> known) {
        for (String name : (Iterable<String>) object::fieldNames) {
            checkArgument(known.contains(name), "%s: unknown field", name);
        }
    }

    static JsonNode required(JsonNode object, String name) {
        JsonNode field = object.get(name);
        checkArgument(field != null, "%s: missing", name);
        return field;
    }

    static String text(JsonNode object, String name) {
        JsonNode field = required(object, name);
        checkArgument(field.isTextual(), "%s: not a string", name);
        return field.textValue();
    }

    static long number(JsonNode object, String name) {
        JsonNode field = required(object, name);
        checkArgument(field.isIntegralNumber() && field.canConvertToLong(), "%s: not an integer", name);
        return field.longValue();
    }

    static int intNumber(JsonNode object, String name) {
        long value = number(object, name);
        checkArgument(value == (int) value, "%s: out of range: %s", name, value);
        return (int) value;
    }

    static Duration millis(JsonNode object, String name) {
        long value = number(object, name);
        checkArgument(value > 0, "%s: not positive: %s", name, value);
        return Duration.ofMillis(value);
    }

    static boolean bool(JsonNode object, String name) {
        JsonNode field = required(object, name);
        checkArgument(field.isBoolean(), "%s: not a boolean", name);
        return field.booleanValue();
    }

    static JsonNode array(JsonNode object, String name) {
        JsonNode field = required(object, name);
        checkArgument(field.isArray(), "%s: not an array", name);
        return field;
    }

    static ImmutableSet<String> texts(JsonNode object, String name) {
        ImmutableSet.Builder<String> texts = ImmutableSet.builder();
        for (JsonNode element : array(object, name)) {
            checkArgument(element.isTextual(), "%s: contains an element that is not a string", name);
            texts.add(element.textValue());
        }
        return texts.build();
    }
}
