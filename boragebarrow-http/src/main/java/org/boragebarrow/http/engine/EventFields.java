package org.boragebarrow.http.engine;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;

import static com.google.common.base.Preconditions.checkArgument;

/** The fields of an engine's event data; unknown fields are skipped. */
record EventFields(
        OptionalInt index,
        Optional<String> text,
        OptionalInt count,
        OptionalInt promptTokens,
        Optional<String> finishReason,
        Optional<String> attempt,
        Optional<String> message) {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    /**
     * Parses the data.
     *
     * @throws IllegalArgumentException if it is not a JSON object or a field has a wrong type
     */
    static EventFields parse(byte[] data, int offset, int length) {
        try (JsonParser parser = FACTORY.createParser(data, offset, length)) {
            checkArgument(parser.nextToken() == JsonToken.START_OBJECT, "event data is not a JSON object");
            EventFields fields = new Reader().read(parser);
            checkArgument(parser.nextToken() == null, "event data has content after its JSON object");
            return fields;
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed event data: " + e.getMessage(), e);
        }
    }

    private static final class Reader {
        private OptionalInt index = OptionalInt.empty();
        private Optional<String> text = Optional.empty();
        private OptionalInt count = OptionalInt.empty();
        private OptionalInt promptTokens = OptionalInt.empty();
        private Optional<String> finishReason = Optional.empty();
        private Optional<String> attempt = Optional.empty();
        private Optional<String> message = Optional.empty();

        EventFields read(JsonParser parser) throws IOException {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                readField(name, parser);
            }
            checkArgument(parser.currentToken() == JsonToken.END_OBJECT, "JSON object in event data is incomplete");
            return new EventFields(index, text, count, promptTokens, finishReason, attempt, message);
        }

        private void readField(String name, JsonParser parser) throws IOException {
            switch (name) {
                case "index" -> index = OptionalInt.of(readInt(parser));
                case "text" -> text = Optional.of(readString(parser));
                case "count" -> count = OptionalInt.of(readInt(parser));
                case "prompt_tokens" -> promptTokens = OptionalInt.of(readInt(parser));
                case "finish_reason" -> finishReason = Optional.of(readString(parser));
                case "attempt" -> attempt = Optional.of(readString(parser));
                case "message" -> message = Optional.of(readString(parser));
                default -> parser.skipChildren();
            }
        }

        private static int readInt(JsonParser parser) throws IOException {
            checkArgument(parser.currentToken() == JsonToken.VALUE_NUMBER_INT, "not an integer: %s", parser.getText());
            int value = parser.getIntValue();
            checkArgument(value >= 0, "negative number: %s", value);
            return value;
        }

        private static String readString(JsonParser parser) throws IOException {
            checkArgument(parser.currentToken() == JsonToken.VALUE_STRING, "not a string: %s", parser.getText());
            return parser.getText();
        }
    }
}
