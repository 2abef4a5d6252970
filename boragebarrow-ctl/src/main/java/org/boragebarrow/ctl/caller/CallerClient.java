package org.boragebarrow.ctl.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.port.EngineClient;

import static com.google.common.base.Preconditions.checkNotNull;

/** Sends callers' requests to entry hosts; thread-safe, never blocks. */
public final class CallerClient {
    /** How long after its time limit a response is still accepted. */
    public static final Duration GRACE_PERIOD = Duration.ofSeconds(1);

    private final HttpClient client;

    /** Creates a client that uses the given HTTP client. */
    public CallerClient(HttpClient client) {
        this.client = checkNotNull(client);
    }

    /** Creates a client with its own connections on the given event loops. */
    public static CallerClient create(EventLoopGroup group) {
        return new CallerClient(new HttpClient(group));
    }

    /** Sends a completion request and streams its response to the listener. */
    public EngineClient.CallHandle complete(Endpoint entry, PromptCall call, AnswerListener listener) {
        return client.stream(entry, call.toHttp(), new CompletionStream(call.requestId(), listener));
    }

    /** Sends a call of a plain service; the future fails with {@link HttpCallException}. */
    public CompletableFuture<HttpAnswer> call(Endpoint entry, ServiceCall call) {
        return client.exchange(entry, call.toHttp(), call.timeout().plus(GRACE_PERIOD))
                .thenApply(answer -> checkBelongsTo(call.requestId(), answer));
    }

    /** Sends a call of a plain service and notifies the listener of its end. */
    public void call(Endpoint entry, ServiceCall call, AnswerListener listener) {
        call(entry, call)
                .whenComplete((answer, failure) ->
                        listener.onEnd(failure == null ? AnswerEnds.of(answer) : AnswerEnds.of(failure)));
    }

    private static HttpAnswer checkBelongsTo(RequestId request, HttpAnswer answer) {
        otherRequest(request, answer.headers()).ifPresent(other -> {
            throw new HttpCallException(true, "response belongs to request \"" + other + "\"");
        });
        return answer;
    }

    /** Returns the id of the request to which the response belongs, if it has one and it is not the given one. */
    static Optional<String> otherRequest(RequestId request, ImmutableListMultimap<String, String> headers) {
        return HttpAnswer.header(headers, PromptCall.REQUEST_ID).filter(id -> !id.equals(request.value()));
    }
}
