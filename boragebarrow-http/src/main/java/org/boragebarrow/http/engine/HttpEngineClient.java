package org.boragebarrow.http.engine;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineClient;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Streams sequences from engines over HTTP.
 *
 * <p>A stream fails unless its tokens arrive in order from the first index and its end event has the matching count.
 */
public final class HttpEngineClient implements EngineClient {
    private final HttpClient client;

    /** Creates an engine client that uses the given HTTP client. */
    public HttpEngineClient(HttpClient client) {
        this.client = checkNotNull(client);
    }

    @Override
    public CallHandle submit(Target engine, Submission submission, Listener listener) {
        checkNotNull(engine);
        checkNotNull(submission);
        checkNotNull(listener);
        SequenceStream stream = new SequenceStream(submission.attempt(), submission.firstIndex(), listener);
        HttpCall call = new HttpCall("POST", EngineProtocol.SEQUENCES, headers(submission), body(submission), true);
        return client.stream(engine.endpoint(), call, stream);
    }

    private static ImmutableListMultimap<String, String> headers(Submission submission) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("Content-Type", "application/json");
        headers.put(EngineProtocol.REQUEST_ID, submission.request().value());
        headers.put(EngineProtocol.ATTEMPT_ID, submission.attempt().toString());
        headers.put(EngineProtocol.MODEL, submission.model().value());
        headers.put(EngineProtocol.PROMPT_TOKENS, Integer.toString(submission.promptTokens()));
        headers.put(EngineProtocol.MAX_TOKENS, Integer.toString(submission.maxTokens()));
        headers.put(EngineProtocol.FIRST_INDEX, Integer.toString(submission.firstIndex()));
        headers.put(EngineProtocol.RESUME, Boolean.toString(submission.resume()));
        headers.put(EngineProtocol.PRIORITY, Integer.toString(submission.priority()));
        headers.put(
                EngineProtocol.REMAINING_MS,
                Long.toString(Math.max(0, submission.remaining().toMillis())));
        headers.put(
                EngineProtocol.CONTINUATION_BYTES,
                Integer.toString(submission.delivered().remaining()));
        submission.gang().ifPresent(gang -> headers.put(EngineProtocol.GANG, gang));
        return headers.build();
    }

    private static ImmutableList<ByteBuffer> body(Submission submission) {
        // The prompt is always sent: an engine that resumes its own sequence already has it, but others need it.
        return ImmutableList.<ByteBuffer>builder()
                .addAll(submission.body())
                .add(submission.delivered())
                .build();
    }
}
