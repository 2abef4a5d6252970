package org.boragebarrow.node.front;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.PrefixBlocks;
import org.boragebarrow.model.RequestException;

/** Parses the fields of a completion request that the front end uses; the engine parses the others. */
final class PromptParser {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int LARGEST_MAX_TOKENS = 1_048_576;
    private static final int MAX_TEXT_CHARACTERS = 64 << 20;

    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(MAX_TEXT_CHARACTERS)
                    .build())
            .build();

    private final boolean chat;
    private final PrefixBlocks prefixBlocks = new PrefixBlocks();

    private String model = "";
    private int maxTokens = DEFAULT_MAX_TOKENS;
    private boolean stream;
    private boolean textSeen;
    private long textBytes;

    private PromptParser(boolean chat) {
        this.chat = chat;
    }

    /**
     * Parses the body of a completion request.
     *
     * @throws RequestException with {@link ErrorKind#BAD_REQUEST} and the reason if the body is malformed
     */
    static ParsedPrompt parse(ImmutableList<ByteBuffer> body, boolean chat) {
        PromptParser parser = new PromptParser(chat);
        ByteBuffer[] parts = body.toArray(new ByteBuffer[0]);
        try (InputStream input = new ByteBufInputStream(Unpooled.wrappedBuffer(Math.max(1, parts.length), parts));
                JsonParser json = JSON.createParser(input)) {
            parser.readObject(json);
        } catch (IOException e) {
            throw badRequest("the body is not valid JSON: " + firstLine(e.getMessage()));
        }
        return parser.result();
    }

    private ParsedPrompt result() {
        if (model.isEmpty()) {
            throw badRequest("model is missing");
        }
        if (!textSeen) {
            throw badRequest((chat ? "messages" : "prompt") + " is missing");
        }
        try {
            int bytes = Math.toIntExact(textBytes);
            return new ParsedPrompt(ModelId.of(model), bytes, maxTokens, stream, chat, prefixBlocks.hashes());
        } catch (IllegalArgumentException e) {
            throw badRequest(e.getMessage());
        }
    }

    private void readObject(JsonParser json) throws IOException {
        if (json.nextToken() != JsonToken.START_OBJECT) {
            throw badRequest("the body is not a JSON object");
        }
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            readField(json, field);
        }
        if (json.nextToken() != null) {
            throw badRequest("the body has content after the JSON object");
        }
    }

    private void readField(JsonParser json, String field) throws IOException {
        switch (field) {
            case "model" -> model = readString(json, field);
            case "prompt" -> readPrompt(json);
            case "messages" -> readMessages(json);
            case "max_tokens", "max_completion_tokens" -> maxTokens = maxTokens(json, field);
            case "stream" -> stream = readBoolean(json);
            default -> json.skipChildren();
        }
    }

    private void readPrompt(JsonParser json) throws IOException {
        if (chat) {
            json.skipChildren();
            return;
        }
        addText(readString(json, "prompt"));
    }

    private void readMessages(JsonParser json) throws IOException {
        if (!chat) {
            json.skipChildren();
            return;
        }
        if (json.currentToken() != JsonToken.START_ARRAY) {
            throw badRequest("messages is not an array");
        }
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (json.currentToken() != JsonToken.START_OBJECT) {
                throw badRequest("a message is not an object");
            }
            readMessage(json);
        }
    }

    private void readMessage(JsonParser json) throws IOException {
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "role", "content" -> addText(readString(json, field));
                default -> json.skipChildren();
            }
        }
    }

    private void addText(String text) {
        textSeen = true;
        try {
            textBytes += Utf8.encodedLength(text);
        } catch (IllegalArgumentException e) {
            throw badRequest("the text contains an unpaired surrogate: " + e.getMessage());
        }
        prefixBlocks.add(text);
    }

    private static String readString(JsonParser json, String field) throws IOException {
        if (json.currentToken() != JsonToken.VALUE_STRING) {
            throw badRequest(field + " is not a string");
        }
        return json.getText();
    }

    private static int maxTokens(JsonParser json, String field) throws IOException {
        boolean isInt =
                json.currentToken() == JsonToken.VALUE_NUMBER_INT && json.getNumberType() == JsonParser.NumberType.INT;
        int value = isInt ? json.getIntValue() : 0;
        if (value < 1 || value > LARGEST_MAX_TOKENS) {
            throw badRequest(field + " is not an integer from 1 to " + LARGEST_MAX_TOKENS);
        }
        return value;
    }

    private static boolean readBoolean(JsonParser json) throws IOException {
        return switch (json.currentToken()) {
            case VALUE_TRUE -> true;
            case VALUE_FALSE, VALUE_NULL -> false;
            default -> throw badRequest("stream is not a boolean");
        };
    }

    private static RequestException badRequest(String message) {
        return RequestException.of(ErrorKind.BAD_REQUEST, message);
    }

    private static String firstLine(String message) {
        return message == null ? "" : message.lines().findFirst().orElse("");
    }
}
