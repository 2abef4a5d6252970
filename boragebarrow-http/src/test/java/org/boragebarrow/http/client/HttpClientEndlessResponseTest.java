package org.boragebarrow.http.client;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;

import static com.google.common.truth.Truth.assertThat;

/** Tests that a call to a server which sends bytes without end fails by a limit on the response, not by its timeout. */
class HttpClientEndlessResponseTest {
    private static final Duration TIMEOUT = Duration.ofMinutes(10);
    private static final long MAX_SECONDS = 60;
    private static final ClientLimits LIMITS =
            new ClientLimits(Duration.ofSeconds(2), Duration.ofSeconds(1), false, true);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group, LIMITS);

    @AfterProperty
    void shutDown() {
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Example
    void anEndlessStatusLineFails() throws Exception {
        assertFailsByLimit("HTTP/1.1 200 ", "OK and so on ");
    }

    @Example
    void endlessHeadersFail() throws Exception {
        assertFailsByLimit("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
    }

    @Example
    void bytesThatAreNotHttpFail() throws Exception {
        assertFailsByLimit("", "\u0001\u0002\u0003");
    }

    @Example
    void endlessEmptyLinesFail() throws Exception {
        assertFailsByLimit("", "\r\n");
    }

    @Example
    void endlessInformationalResponsesFail() throws Exception {
        assertFailsByLimit("", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    @Example
    void anEndlessBodyFails() throws Exception {
        assertFailsByLimit("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "more");
    }

    @Example
    void endlessChunksFail() throws Exception {
        assertFailsByLimit("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n");
    }

    @Example
    void endlessTrailersFail() throws Exception {
        assertFailsByLimit("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n");
    }

    @Example
    void anEndlessResponseToAnotherCallFails() throws Exception {
        assertFailsByLimit("HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n");
    }

    @Example
    void endlessResponsesToOtherCallsFail() throws Exception {
        assertFailsByLimit("", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n");
    }

    private void assertFailsByLimit(String begin, String repeated) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> stopped = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> serve(server, begin, repeated, stopped));
            HttpCall call = new HttpCall(
                    "GET",
                    "/",
                    ImmutableListMultimap.of(),
                    ImmutableList.of(),
                    true,
                    Optional.of(new CorrelationId("Id", "1")));
            Throwable failure = client.exchange(Endpoint.of("127.0.0.1", server.getLocalPort()), call, TIMEOUT)
                    .handle((answer, thrown) -> thrown)
                    .get(MAX_SECONDS, TimeUnit.SECONDS);

            assertThat(failure).isInstanceOf(HttpCallException.class);
            stopped.get(MAX_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Sends the repeated bytes until the client closes the connection. */
    private static void serve(ServerSocket server, String begin, String repeated, CompletableFuture<Void> stopped) {
        try (Socket connection = server.accept()) {
            OutputStream out = connection.getOutputStream();
            out.write(begin.getBytes(StandardCharsets.US_ASCII));
            byte[] more = repeated.repeat(1_000).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(more);
            }
        } catch (IOException e) {
            stopped.complete(null);
        }
    }
}
