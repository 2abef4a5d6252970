package org.boragebarrow.ctl.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.http.server.HttpServer;
import org.boragebarrow.http.server.ServerHandler;
import org.boragebarrow.http.server.ServerLimits;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a response to another request that is counted as the response to this one. */
class CallerClientTest implements ServerHandler {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final RequestId ID = RequestId.of("r1");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer host = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), ServerLimits.defaults(), this);
    private final CallerClient client = CallerClient.create(group);
    private volatile String echoedId = "";

    @AfterTry
    void close() {
        host.closeNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public void onRequest(ServerRequest request, ServerResponse response) {
        int status = request.path().endsWith("/refused") || request.path().startsWith("/v1/") ? 503 : 200;
        ImmutableListMultimap<String, String> headers =
                echoedId.isEmpty() ? ImmutableListMultimap.of() : ImmutableListMultimap.of("request-id", echoedId);
        response.send(status, headers, ByteBuffer.wrap("text".getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void onRefused(RequestException refusal, ServerResponse response) {
        response.send(400, ImmutableListMultimap.of(), ByteBuffer.allocate(0));
    }

    private AnswerEnd call(String path) {
        ServiceCall call = new ServiceCall("key", ID, ServiceName.of("s"), "GET", path, "", TIMEOUT, Optional.empty());
        EndRecorder recorder = new EndRecorder(new CompletableFuture<>());
        client.call(host.endpoint(), call, recorder);
        return recorder.end().join();
    }

    private AnswerEnd complete() {
        PromptCall call = new PromptCall("key", ID, ImmutableList.of(), TIMEOUT, OptionalInt.empty());
        EndRecorder recorder = new EndRecorder(new CompletableFuture<>());
        client.complete(host.endpoint(), call, recorder);
        return recorder.end().join();
    }

    private record EndRecorder(CompletableFuture<AnswerEnd> end) implements AnswerListener {
        @Override
        public void onToken(String text) {}

        @Override
        public void onEnd(AnswerEnd reported) {
            end.complete(reported);
        }
    }

    @Example
    void aSuccessOfAnotherRequestIsNoSuccessOfACall() {
        echoedId = "r2";

        assertThat(call("/a")).isInstanceOf(AnswerEnd.Cut.class);
    }

    @Example
    void aRefusalOfAnotherRequestIsNoRefusalOfACall() {
        echoedId = "r2";

        assertThat(call("/refused")).isInstanceOf(AnswerEnd.Cut.class);
    }

    @Example
    void aRefusalOfAnotherRequestIsNoRefusalOfAPrompt() {
        echoedId = "r2";

        assertThat(complete()).isInstanceOf(AnswerEnd.Cut.class);
    }

    @Example
    void responsesWithTheRequestsIdOrWithoutAnyAreAccepted() {
        for (String id : new String[] {"r1", ""}) {
            echoedId = id;

            assertThat(call("/a")).isEqualTo(new AnswerEnd.Complete(0, 0));
            assertThat(complete()).isInstanceOf(AnswerEnd.Refused.class);
        }
    }
}
