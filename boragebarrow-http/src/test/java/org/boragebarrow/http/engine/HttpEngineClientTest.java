package org.boragebarrow.http.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.client.ScriptedServer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertThat;

class HttpEngineClientTest {
    private static final String START = "event: start\ndata: {\"attempt\":\"host#1/2\"}\n\n";
    private static final String TOKEN_5 = "data: {\"index\":5,\"text\":\"a\"}\n\n";
    private static final String TOKEN_6 = "data: {\"index\":6,\"text\":\"b\"}\n\n";
    private static final String END_7 =
            "event: end\ndata: {\"count\":7,\"prompt_tokens\":3,\"finish_reason\":\"length\"}\n\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EngineClient client = new HttpEngineClient(new HttpClient(group));

    @AfterTry
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Returns the outcome of a sequence from index 5 when the engine responds with the given events. */
    private String outcomeOfEvents(String events) throws Exception {
        return outcomeOfResponse("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: "
                + events.length() + "\r\n\r\n" + events);
    }

    private String outcomeOfResponse(String answer) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(answer, false)) {
            CompletableFuture<String> outcome = new CompletableFuture<>();
            client.submit(target(server.endpoint()), submission(), new Recorder(outcome, new StringBuilder()));
            return outcome.join();
        }
    }

    private record Recorder(CompletableFuture<String> outcome, StringBuilder text) implements EngineClient.Listener {
        @Override
        public void onToken(int index, String token) {
            text.append(token);
        }

        @Override
        public void onEnd(int count, int promptTokens, String finishReason) {
            outcome.complete(text + " " + count + " " + promptTokens + " " + finishReason);
        }

        @Override
        public void onFailure(TargetFailure failure) {
            outcome.complete(failure.refused() ? "refused" : "broken");
        }
    }

    private static Target target(Endpoint endpoint) {
        return new Target(
                TargetId.of("e"), TargetKind.ENGINE, AvailabilityZoneId.of("a"), endpoint, Optional.empty(), false);
    }

    private static EngineClient.Submission submission() {
        return new EngineClient.Submission(
                RequestId.of("r"),
                AttemptId.parse("host#1/2"),
                ModelId.of("model"),
                ImmutableList.of(ByteBuffer.wrap("{}".getBytes(StandardCharsets.UTF_8))),
                ByteBuffer.allocate(0),
                3,
                10,
                5,
                false,
                0,
                Duration.ofMinutes(1),
                Optional.empty());
    }

    @Example
    void aCompleteStreamEnds() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_5 + TOKEN_6 + END_7)).isEqualTo("ab 7 3 length");
    }

    @Example
    void aStreamWithoutItsEndEventIsBroken() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_5 + TOKEN_6)).isEqualTo("broken");
    }

    @Example
    void aMissingTokenIsAFailure() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_6 + END_7)).isEqualTo("broken");
    }

    @Example
    void aRepeatedTokenIsAFailure() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_5 + TOKEN_5)).isEqualTo("broken");
    }

    @Example
    void aWrongCountIsAFailure() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_5 + END_7)).isEqualTo("broken");
    }

    @Example
    void aStreamOfAnotherAttemptIsAFailure() throws Exception {
        String otherAttempt = START.replace("host#1/2", "host#1/3");
        assertThat(outcomeOfEvents(otherAttempt + TOKEN_5 + TOKEN_6 + END_7)).isEqualTo("broken");
    }

    @Example
    void aStreamWithoutItsStartEventIsAFailure() throws Exception {
        assertThat(outcomeOfEvents(TOKEN_5 + TOKEN_6 + END_7)).isEqualTo("broken");
    }

    @Example
    void malformedDataIsAFailure() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_5.replace("}", ""))).isEqualTo("broken");
        assertThat(outcomeOfEvents(START + TOKEN_5.replace("5", "\"5\""))).isEqualTo("broken");
        assertThat(outcomeOfEvents(START + TOKEN_5.replace("}", "}}"))).isEqualTo("broken");
        assertThat(outcomeOfEvents(START + TOKEN_5.replace("{", "{\"index\":5,")))
                .isEqualTo("broken");
    }

    @Example
    void anErrorEventIsAFailure() throws Exception {
        assertThat(outcomeOfEvents(START + TOKEN_5 + "event: error\ndata: {\"message\":\"time limit\"}\n\n"))
                .isEqualTo("broken");
    }

    @Example
    void aResponseThatIsNotAnEventStreamIsAFailure() throws Exception {
        assertThat(outcomeOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
                .isEqualTo("broken");
    }

    @Example
    void status503IsARefusal() throws Exception {
        assertThat(outcomeOfResponse("HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nhi"))
                .isEqualTo("refused");
    }

    @Example
    void status500IsAFailure() throws Exception {
        assertThat(outcomeOfResponse("HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nhi"))
                .isEqualTo("broken");
    }
}
