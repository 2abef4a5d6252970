package org.boragebarrow.ctl.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.StreamListener;
import org.boragebarrow.http.engine.SseParser;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.base.Preconditions.checkArgument;

/** Decodes a streamed completion into tokens and its end; fails on a response that belongs to another request. */
final class CompletionStream implements StreamListener {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int MAX_ERROR_CHARS = 4_000;
    private static final String DONE = "[DONE]";
    private static final String ERROR_EVENT = "error";

    private final RequestId request;
    private final AnswerListener listener;
    private final SseParser parser = new SseParser(this::onEvent);
    private final StringBuilder errorBody = new StringBuilder();
    private Optional<AnswerEnd> end = Optional.empty();
    private Optional<JsonNode> usage = Optional.empty();
    private int status;
    private int tokenCount;
    private boolean endReported;

    CompletionStream(RequestId request, AnswerListener listener) {
        this.request = request;
        this.listener = listener;
    }

    @Override
    public void onHead(int answerStatus, ImmutableListMultimap<String, String> headers) {
        CallerClient.otherRequest(request, headers).ifPresent(other -> {
            throw new IllegalArgumentException("response belongs to request \"" + other + "\"");
        });
        status = answerStatus;
        String type = HttpAnswer.header(headers, "content-type").orElse("");
        checkArgument(status != OK || type.startsWith("text/event-stream"), "not an event stream: \"%s\"", type);
    }

    @Override
    public void onBody(ByteBuf part) {
        if (status == OK) {
            parser.feed(part);
            return;
        }
        int length = Math.min(part.readableBytes(), MAX_ERROR_CHARS - errorBody.length());
        errorBody.append(part.toString(part.readerIndex(), Math.max(0, length), StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd() {
        if (status == OK) {
            finish(end.orElse(new AnswerEnd.Cut(true, "the stream ended without an end event")));
            return;
        }
        finish(AnswerEnds.refused(status, errorBody.toString()));
    }

    @Override
    public void onFailure(TargetFailure failure) {
        finish(end.orElse(new AnswerEnd.Cut(failure.sent(), failure.message())));
    }

    private void finish(AnswerEnd reported) {
        if (!endReported) {
            endReported = true;
            listener.onEnd(reported);
        }
    }

    private void onEvent(String type, byte[] data, int offset, int length) {
        checkArgument(end.isEmpty(), "received an event after the end event");
        if (type.equals(ERROR_EVENT)) {
            JsonNode fields = parse(data, offset, length).path("error");
            end = Optional.of(new AnswerEnd.Failed(
                    fields.path("kind").asText(""), fields.path("message").asText("")));
            return;
        }
        if (isDone(data, offset, length)) {
            end = Optional.of(verifyTokenCount());
            return;
        }
        onChunk(parse(data, offset, length));
    }

    private static boolean isDone(byte[] data, int offset, int length) {
        return length == DONE.length() && new String(data, offset, length, StandardCharsets.US_ASCII).equals(DONE);
    }

    private void onChunk(JsonNode chunk) {
        JsonNode choice = chunk.path("choices").path(0);
        if (chunk.has("usage")) {
            usage = Optional.of(chunk.path("usage"));
        }
        String text =
                choice.path("text").asText(choice.path("delta").path("content").asText(""));
        if (!text.isEmpty()) {
            tokenCount++;
            listener.onToken(text);
        }
    }

    private AnswerEnd verifyTokenCount() {
        if (usage.isEmpty()) {
            return new AnswerEnd.Cut(true, "no event before the end event has the usage");
        }
        int reportedTokens = usage.get().path("completion_tokens").asInt(-1);
        if (reportedTokens != tokenCount) {
            return new AnswerEnd.Cut(
                    true, "the usage reports " + reportedTokens + " tokens, " + tokenCount + " were received");
        }
        return new AnswerEnd.Complete(
                reportedTokens, usage.get().path("prompt_tokens").asInt());
    }

    private static JsonNode parse(byte[] data, int offset, int length) {
        try {
            return MAPPER.readTree(data, offset, length);
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed event data: " + e.getMessage(), e);
        }
    }
}
