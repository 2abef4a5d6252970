package org.boragebarrow.http.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.EngineClient;

import static com.google.common.truth.Truth.assertThat;

class HttpClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HttpCall CALL = HttpCall.of("GET", "/");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);

    @AfterProperty
    void shutDown() {
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Example
    void aResponseOfTheDeclaredLengthIsComplete() throws Exception {
        try (ScriptedServer server = ScriptedServer.start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false)) {
            assertThat(get(server.endpoint()).text()).isEqualTo("hi");
        }
    }

    @Example
    void aResponseShorterThanItsDeclaredLengthFails() throws Exception {
        assertFailsAsSent("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi");
    }

    @Example
    void aResponseWithoutItsFinalChunkFails() throws Exception {
        assertFailsAsSent("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n");
    }

    @Example
    void aCloseDelimitedResponseFails() throws Exception {
        assertFailsAsSent("HTTP/1.1 200 OK\r\n\r\nhi");
    }

    @Example
    void aMalformedResponseFails() throws Exception {
        assertFailsAsSent("HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi");
    }

    @Example
    void aResponseWithALengthBesideChunksFails() throws Exception {
        assertFailsAsSent(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    }

    @Example
    void anInformationalResponseIsSkipped() throws Exception {
        String answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        try (ScriptedServer server = ScriptedServer.start(answer, false)) {
            assertThat(get(server.endpoint()).status()).isEqualTo(200);
        }
    }

    @Example
    void aKeptAliveConnectionIsReused() throws Exception {
        try (ScriptedServer server = ScriptedServer.start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true)) {
            get(server.endpoint());
            get(server.endpoint());
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    @Example
    void aRefusedConnectionFailsAsNotSent() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        assertThat(failure(Endpoint.of("127.0.0.1", port), TIMEOUT).sent()).isFalse();
    }

    @Example
    void aCheckOfAPortWithoutAListenerTellsThatItRefusesConnections() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        assertThat(client.refusesConnection(Endpoint.of("127.0.0.1", port)).get(5, TimeUnit.SECONDS))
                .isTrue();
    }

    @Example
    void theConnectionOfACheckIsUsedByTheNextCall() throws Exception {
        try (ScriptedServer server = ScriptedServer.start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true)) {
            assertThat(client.refusesConnection(server.endpoint()).get(5, TimeUnit.SECONDS))
                    .isFalse();
            get(server.endpoint());
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    @Example
    void aCallThatTimesOutFailsAsSent() throws Exception {
        try (ScriptedServer server = ScriptedServer.start("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", true)) {
            assertThat(failure(server.endpoint(), Duration.ofSeconds(1)).sent()).isTrue();
        }
    }

    @Example
    void aRequestOnAReusedConnectionThatIsClosedFailsAsSent() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.startClosingOnSecondRequest("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")) {
            get(server.endpoint());
            assertThat(failure(server.endpoint(), TIMEOUT).sent()).isTrue();
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    @Example
    void aCancelledCallResetsItsConnectionSoThatNoBytesArriveLater() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Endpoint endpoint = Endpoint.of("127.0.0.1", server.getLocalPort());
            EngineClient.CallHandle call =
                    client.stream(endpoint, CALL, new ResponseCollector(HttpClient.MAX_ANSWER_BYTES));
            try (Socket connection = server.accept()) {
                connection.setSoTimeout((int) TIMEOUT.toMillis());
                InputStream input = connection.getInputStream();
                assertThat(input.read()).isEqualTo('G');
                call.close();

                assertThat(endsByReset(input)).isTrue();
            }
        }
    }

    /** Guards against requests whose target reaches the server with other bytes than the caller sent. */
    @Example
    void bytesOfARequestTargetThatAreNoAsciiPassUnchanged() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Endpoint endpoint = Endpoint.of("127.0.0.1", server.getLocalPort());
            client.stream(
                    endpoint,
                    HttpCall.of("GET", "/caf\u00c3\u00a9"),
                    new ResponseCollector(HttpClient.MAX_ANSWER_BYTES));
            try (Socket connection = server.accept()) {
                connection.setSoTimeout((int) TIMEOUT.toMillis());
                byte[] line = connection.getInputStream().readNBytes("GET /cafxx HTTP/1.1\r\n".length());

                assertThat(new String(line, StandardCharsets.ISO_8859_1))
                        .isEqualTo("GET /caf\u00c3\u00a9 HTTP/1.1\r\n");
            }
        }
    }

    @Example
    void idleConnectionsAreNotReusedAfterACallToTheirEndpointTimedOut() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        try (ScriptedServer server = ScriptedServer.startUnresponsiveAfterFirstRequest(answer)) {
            // Nothing is received within one task, so that the second call cannot use the connection of the first.
            CompletableFuture<Void> both = group.next()
                    .submit(() -> CompletableFuture.allOf(
                            client.exchange(server.endpoint(), CALL, TIMEOUT),
                            client.exchange(server.endpoint(), CALL, TIMEOUT)))
                    .get();
            both.join();
            assertThat(server.connections()).isEqualTo(2);
            assertThat(failure(server.endpoint(), Duration.ofMillis(300)).sent())
                    .isTrue();

            assertThat(get(server.endpoint()).text()).isEqualTo("hi");
        }
    }

    @Example
    void aMalformedRequestIsNotSent() throws Exception {
        HttpCall forged = CALL.withHeaders(ImmutableListMultimap.of("Name", "value\r\nForged: 1"));
        try (ScriptedServer server = ScriptedServer.start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true)) {
            assertThat(failure(server.endpoint(), forged, TIMEOUT).sent()).isFalse();
        }
    }

    private static boolean endsByReset(InputStream input) throws IOException {
        try {
            input.readAllBytes();
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    private void assertFailsAsSent(String answer) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(answer, false)) {
            assertThat(failure(server.endpoint(), TIMEOUT).sent()).isTrue();
        }
    }

    private HttpAnswer get(Endpoint endpoint) {
        return client.exchange(endpoint, CALL, TIMEOUT).join();
    }

    private HttpCallException failure(Endpoint endpoint, Duration timeout) {
        return failure(endpoint, CALL, timeout);
    }

    private HttpCallException failure(Endpoint endpoint, HttpCall call, Duration timeout) {
        Throwable failure = client.exchange(endpoint, call, timeout)
                .handle((answer, thrown) -> thrown)
                .join();
        assertThat(failure).isInstanceOf(HttpCallException.class);
        return (HttpCallException) failure;
    }
}
