package org.boragebarrow.http.engine;

import java.nio.charset.StandardCharsets;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.StreamListener;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.port.EngineClient.Listener;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.base.Preconditions.checkArgument;

/** Decodes an engine's response into tokens; fails on tokens out of order and on a stream of another attempt. */
final class SequenceStream implements StreamListener {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAX_ERROR_CHARS = 500;
    private static final String CONTENT_TYPE = "Content-Type";
    private static final String EVENT_STREAM = "text/event-stream";

    private final AttemptId attempt;
    private final Listener listener;
    private final SseParser parser = new SseParser(this::onEvent);
    private final StringBuilder errorBody = new StringBuilder();
    private int status;
    private int nextIndex;
    private boolean started;
    private boolean done;

    SequenceStream(AttemptId attempt, int firstIndex, Listener listener) {
        this.attempt = attempt;
        this.nextIndex = firstIndex;
        this.listener = listener;
    }

    @Override
    public void onHead(int responseStatus, ImmutableListMultimap<String, String> headers) {
        status = responseStatus;
        if (status != OK) {
            return;
        }
        String contentType = HttpAnswer.header(headers, CONTENT_TYPE).orElse("");
        checkArgument(contentType.startsWith(EVENT_STREAM), "response is not an event stream but \"%s\"", contentType);
    }

    @Override
    public void onBody(ByteBuf part) {
        if (done) {
            return;
        }
        if (status != OK) {
            int length = Math.min(part.readableBytes(), MAX_ERROR_CHARS - errorBody.length());
            errorBody.append(part.toString(part.readerIndex(), Math.max(0, length), StandardCharsets.UTF_8));
            return;
        }
        parser.feed(part);
    }

    @Override
    public void onEnd() {
        if (done) {
            return;
        }
        done = true;
        if (status == OK) {
            listener.onFailure(TargetFailure.broken("stream ended without its end event"));
            return;
        }
        String message = "status " + status + ": " + errorBody;
        listener.onFailure(isRefusal() ? TargetFailure.refused(message) : TargetFailure.broken(message));
    }

    @Override
    public void onFailure(TargetFailure failure) {
        if (!done) {
            done = true;
            listener.onFailure(failure);
        }
    }

    private boolean isRefusal() {
        return status >= BAD_REQUEST && status < INTERNAL_SERVER_ERROR || status == SERVICE_UNAVAILABLE;
    }

    private void onEvent(String type, byte[] data, int offset, int length) {
        if (done) {
            return;
        }
        EventFields fields = EventFields.parse(data, offset, length);
        if (type.equals(EngineProtocol.START_EVENT)) {
            onStartEvent(fields);
            return;
        }
        checkArgument(started, "event \"%s\" before the start event", type);
        switch (type) {
            case "message" -> onTokenEvent(fields);
            case EngineProtocol.END_EVENT -> onEndEvent(fields);
            case EngineProtocol.ERROR_EVENT -> onErrorEvent(fields);
            default -> throw new IllegalArgumentException("unknown event type \"" + type + "\"");
        }
    }

    private void onStartEvent(EventFields fields) {
        String streamAttempt = fields.attempt().orElse("");
        checkArgument(streamAttempt.equals(attempt.toString()), "stream belongs to attempt \"%s\"", streamAttempt);
        checkArgument(!started, "duplicate start event");
        started = true;
    }

    private void onTokenEvent(EventFields fields) {
        checkArgument(fields.index().isPresent() && fields.text().isPresent(), "token event without index or text");
        int index = fields.index().getAsInt();
        checkArgument(index == nextIndex, "unexpected token index %s, expected %s", index, nextIndex);
        nextIndex++;
        listener.onToken(index, fields.text().get());
    }

    private void onEndEvent(EventFields fields) {
        checkArgument(
                fields.count().isPresent() && fields.promptTokens().isPresent(),
                "end event without count or prompt_tokens");
        checkArgument(fields.finishReason().isPresent(), "end event without finish_reason");
        int count = fields.count().getAsInt();
        checkArgument(count == nextIndex, "end event after %s tokens has count %s", nextIndex, count);
        done = true;
        listener.onEnd(
                count, fields.promptTokens().getAsInt(), fields.finishReason().get());
    }

    private void onErrorEvent(EventFields fields) {
        done = true;
        listener.onFailure(TargetFailure.broken(
                "engine aborted the sequence: " + fields.message().orElse("no message")));
    }
}
