package org.boragebarrow.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.boragebarrow.http.engine.EngineProtocol;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.standins.fault.FaultEffects;
import org.boragebarrow.standins.web.WebResponse;

/** Writes the tokens of sequences to their responses; a sequence also runs without a response. */
final class TokenStreams implements SequenceSink {
    private final Map<AttemptId, TokenStream> streams = new HashMap<>();
    private final Set<TokenStream> unflushed = new LinkedHashSet<>();
    private long dropAfterTokens;
    private long dieAfterTokens;
    private final FaultEffects effects;
    private boolean crashPending;

    TokenStreams(FaultEffects effects) {
        this.effects = effects;
    }

    private static final class TokenStream {
        private final WebResponse response;
        private final SequenceRequest request;
        private final StringBuilder text = new StringBuilder();
        private boolean ended;

        TokenStream(WebResponse response, SequenceRequest request) {
            this.response = response;
            this.request = request;
        }

        void appendEvent(String type, String data) {
            text.append("event: ").append(type).append("\ndata: ").append(data).append("\n\n");
        }

        void appendToken(int index) {
            text.append("data: {\"index\":").append(index).append(",\"text\":\"");
            text.append(TokenTexts.text(request.bodyHash(), index)).append("\"}\n\n");
        }

        void appendEnd() {
            appendEvent(
                    EngineProtocol.END_EVENT,
                    "{\"count\":" + request.maxTokens() + ",\"prompt_tokens\":" + request.promptTokens()
                            + ",\"finish_reason\":\"length\"}");
            ended = true;
        }

        void flush() {
            if (response.isOpen()) {
                send();
            }
            text.setLength(0);
        }

        private void send() {
            if (!text.isEmpty()) {
                response.write(text.toString());
            }
            if (ended) {
                response.end();
            }
        }
    }

    /** Streams the tokens from the index on to the response, starting with those already produced. */
    void attach(Sequence sequence, int firstIndex, WebResponse response) {
        AttemptId attempt = sequence.attempt();
        drop(attempt);
        TokenStream stream = new TokenStream(response, sequence.request());
        response.startStream(200, "text/event-stream");
        stream.appendEvent(
                EngineProtocol.START_EVENT,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("attempt", attempt.toString())
                        .toString());
        for (int index = firstIndex; index < sequence.nextIndex(); index++) {
            stream.appendToken(index);
        }
        if (sequence.isComplete()) {
            stream.appendEnd();
        } else {
            streams.put(attempt, stream);
        }
        unflushed.add(stream);
    }

    /** Resets the connection of the attempt's response, if there is one. */
    void drop(AttemptId attempt) {
        TokenStream stream = streams.remove(attempt);
        if (stream != null) {
            unflushed.remove(stream);
            stream.response.abort();
        }
    }

    void dropAll() {
        new ArrayList<>(streams.keySet()).forEach(this::drop);
    }

    /** Sends the events that were added since the last flush. */
    void flush() {
        unflushed.forEach(TokenStream::flush);
        unflushed.clear();
    }

    void setDropAfterTokens(long tokens) {
        dropAfterTokens = tokens;
    }

    void setDieAfterTokens(long tokens) {
        dieAfterTokens = tokens;
    }

    /** Returns whether the engine must lose its state now, and clears the flag. */
    boolean pollCrash() {
        boolean wasPending = crashPending;
        crashPending = false;
        return wasPending;
    }

    @Override
    public void onToken(AttemptId attempt, int index) {
        if (crashPending) {
            return;
        }
        TokenStream stream = streams.get(attempt);
        if (stream != null) {
            stream.appendToken(index);
            unflushed.add(stream);
        }
        if (dropAfterTokens > 0 && stream != null && --dropAfterTokens == 0) {
            effects.count("drop_after_tokens");
            stream.flush();
            drop(attempt);
        }
        crashPending = dieAfterTokens > 0 && --dieAfterTokens == 0;
    }

    @Override
    public void onEnd(AttemptId attempt) {
        if (crashPending) {
            return;
        }
        TokenStream stream = streams.remove(attempt);
        if (stream != null) {
            stream.appendEnd();
            unflushed.add(stream);
        }
    }

    @Override
    public void onStop(AttemptId attempt, String reason) {
        if (crashPending) {
            return;
        }
        TokenStream stream = streams.remove(attempt);
        if (stream != null) {
            stream.appendEvent(EngineProtocol.ERROR_EVENT, "{\"message\":\"" + reason + "\"}");
            stream.ended = true;
            unflushed.add(stream);
        }
    }
}
