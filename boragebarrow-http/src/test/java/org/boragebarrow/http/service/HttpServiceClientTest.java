package org.boragebarrow.http.service;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.client.ScriptedServer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.ServiceClient;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertThat;

class HttpServiceClientTest {
    private static final String RESPONSE =
            "HTTP/1.1 201 Created\r\nContent-Length: 4\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\ndone";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ServiceClient client = new HttpServiceClient(new HttpClient(group));

    @AfterTry
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static final class Recorder implements ServiceClient.Listener {
        private final CompletableFuture<String> outcome = new CompletableFuture<>();
        private final StringBuilder text = new StringBuilder();

        @Override
        public void onHead(int status, ImmutableListMultimap<String, String> headers) {
            text.append(status).append(headers.keySet());
        }

        @Override
        public void onBody(ByteBuffer part) {
            text.append(StandardCharsets.UTF_8.decode(part));
        }

        @Override
        public void onEnd() {
            outcome.complete(text.toString());
        }

        @Override
        public void onFailure(TargetFailure failure) {
            outcome.complete("failed, sent: " + failure.sent());
        }
    }

    private String call(ScriptedServer server, ImmutableListMultimap<String, String> headers) {
        Target target = new Target(
                TargetId.of("s"),
                TargetKind.SERVICE,
                AvailabilityZoneId.of("a"),
                server.endpoint(),
                Optional.of(ServiceName.of("furnace")),
                false);
        ServiceClient.Call call = new ServiceClient.Call(
                RequestId.of("r"),
                AttemptId.parse("host#1/2"),
                "POST",
                "/slots?day=1",
                headers,
                ImmutableList.of(ByteBuffer.wrap("slot".getBytes(StandardCharsets.UTF_8))),
                Duration.ofMinutes(1));
        Recorder recorder = new Recorder();
        client.call(target, call, recorder);
        return recorder.outcome.join();
    }

    @Example
    void hopByHopHeadersOfTheResponseAreNotForwarded() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(RESPONSE, false)) {
            assertThat(call(server, ImmutableListMultimap.of())).isEqualTo("201[Content-Length, X-End]done");
        }
    }

    @Example
    void aRequestCarriesItsIdsButNoHopByHopHeaders() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(RESPONSE, false)) {
            call(
                    server,
                    ImmutableListMultimap.of(
                            "Connection", "close, x-hop", "X-Hop", "1", "Attempt-Id", "forged", "X-End", "2"));
            assertThat(server.lastHead()).contains("POST /slots?day=1 HTTP/1.1\r\n");
            assertThat(server.lastHead()).contains("\r\nRequest-Id: r\r\nAttempt-Id: host#1/2\r\n");
            assertThat(server.lastHead()).contains("\r\nX-End: 2\r\n");
            assertThat(server.lastHead()).doesNotContain("X-Hop");
            assertThat(server.lastHead()).doesNotContain("forged");
        }
    }

    @Example
    void theCallersApiKeyIsNotForwarded() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(RESPONSE, false)) {
            call(server, ImmutableListMultimap.of("Authorization", "Bearer secret"));
            assertThat(server.lastHead()).doesNotContain("secret");
        }
    }

    @Example
    void theRemainingTimeIsSentToTheService() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(RESPONSE, false)) {
            call(server, ImmutableListMultimap.of("request-timeout-ms", "90000"));
            assertThat(server.lastHead()).contains("\r\nRequest-Timeout-Ms: 60000\r\n");
            assertThat(server.lastHead()).doesNotContain("90000");
        }
    }

    @Example
    void aResponseShorterThanItsDeclaredLengthFails() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(RESPONSE.replace(": 4", ": 5"), false)) {
            assertThat(call(server, ImmutableListMultimap.of())).isEqualTo("failed, sent: true");
        }
    }

    @Example
    void eachCallUsesANewConnection() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(RESPONSE, true)) {
            call(server, ImmutableListMultimap.of());
            call(server, ImmutableListMultimap.of());
            assertThat(server.connections()).isEqualTo(2);
        }
    }
}
