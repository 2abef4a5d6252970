package org.boragebarrow.node.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.RequestId;

/** Writes a completion to the caller, as a stream or as one response, in the usual JSON format of model servers. */
final class CompletionWriter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ServerResponse response;
    private final RequestId request;
    private final ParsedPrompt prompt;
    private final StringBuilder bufferedText = new StringBuilder();

    private boolean started;

    CompletionWriter(ServerResponse response, RequestId request, ParsedPrompt prompt) {
        this.response = response;
        this.request = request;
        this.prompt = prompt;
    }

    /** Returns whether a part of the response has been sent to the caller. */
    boolean isStarted() {
        return started;
    }

    void writeToken(String text) {
        if (!prompt.stream()) {
            bufferedText.append(text);
            return;
        }
        if (!started) {
            started = true;
            response.start(
                    200,
                    ImmutableListMultimap.of(
                            "content-type", "text/event-stream",
                            "cache-control", "no-cache",
                            "request-id", request.value()));
        }
        response.write(event(chunk(text, null)));
    }

    void writeEnd(int count, int promptTokens, String finishReason) {
        if (!prompt.stream()) {
            sendCompletion(count, promptTokens, finishReason);
            return;
        }
        ObjectNode lastChunk = chunk("", finishReason);
        putUsage(lastChunk, count, promptTokens);
        response.write(event(lastChunk));
        response.write(ByteBuffer.wrap("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8)));
        response.end();
    }

    private void sendCompletion(int count, int promptTokens, String finishReason) {
        ObjectNode body = envelope(prompt.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        if (prompt.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", bufferedText.toString());
        } else {
            choice.put("text", bufferedText.toString());
        }
        choice.put("finish_reason", finishReason);
        putUsage(body, count, promptTokens);
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        response.send(
                200,
                ImmutableListMultimap.of("content-type", "application/json", "request-id", request.value()),
                ByteBuffer.wrap(bytes));
    }

    private ObjectNode chunk(String text, String finishReason) {
        ObjectNode body = envelope(prompt.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        if (prompt.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return body;
    }

    private ObjectNode envelope(String object) {
        ObjectNode body = JSON.createObjectNode();
        body.put("id", request.value());
        body.put("object", object);
        body.put("model", prompt.model().value());
        return body;
    }

    private static void putUsage(ObjectNode body, int count, int promptTokens) {
        ObjectNode usage = body.putObject("usage");
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", count);
        usage.put("total_tokens", promptTokens + count);
    }

    private static ByteBuffer event(ObjectNode data) {
        return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
