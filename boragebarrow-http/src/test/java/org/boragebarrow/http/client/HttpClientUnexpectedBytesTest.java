package org.boragebarrow.http.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
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

/** Guards against bytes that belong to no call: they must not become a part of the next call's response. */
class HttpClientUnexpectedBytesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final HttpCall CALL = HttpCall.of("GET", "/");
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    private static final String FAILURE = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad";
    private static final List<String> FRAGMENTS = List.of(
            "\r\n",
            "H",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\nX-Junk: ",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);
    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final Endpoint endpoint = Endpoint.of("127.0.0.1", server.getLocalPort());
    private final LinkedBlockingQueue<UnexpectedBytes> reported = new LinkedBlockingQueue<>();

    HttpClientUnexpectedBytesTest() throws IOException {
        client.setUnexpectedBytesListener(reported::add);
        server.setSoTimeout((int) TIMEOUT.toMillis());
    }

    @AfterProperty
    void shutDown() throws IOException {
        client.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static void answer(Socket connection, String bytes) throws IOException {
        InputStream in = connection.getInputStream();
        int newLines = 0;
        while (newLines < 4) {
            int next = in.read();
            assertThat(next).isAtLeast(0);
            newLines = next == '\r' || next == '\n' ? newLines + 1 : 0;
        }
        write(connection, bytes);
    }

    private static void write(Socket connection, String bytes) throws IOException {
        connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a call that has to use a new connection, on which the server answers with a failure. */
    private void assertNextCallUsesNewConnection(String fragment) throws Exception {
        CompletableFuture<HttpAnswer> second = client.exchange(endpoint, CALL, TIMEOUT);
        try (Socket connection = server.accept()) {
            answer(connection, FAILURE);
            assertThat(second.join().status()).isEqualTo(500);
        }
        UnexpectedBytes unexpected = reported.poll(10, TimeUnit.SECONDS);
        assertThat(unexpected.state()).isEqualTo(UnexpectedBytes.State.IDLE);
        assertThat(unexpected.bytes()).isEqualTo(fragment.length());
        assertThat(unexpected.uses()).isEqualTo(1);
    }

    @Example
    void aConnectionOnWhichBytesFollowAResponseIsNotReused() throws Exception {
        for (String fragment : FRAGMENTS) {
            CompletableFuture<HttpAnswer> first = client.exchange(endpoint, CALL, TIMEOUT);
            try (Socket connection = server.accept()) {
                answer(connection, SUCCESS + fragment);
                assertThat(first.join().text()).isEqualTo("hi");

                assertNextCallUsesNewConnection(fragment);
            }
        }
    }

    @Example
    void aConnectionOnWhichBytesArriveWhileItIsIdleIsClosed() throws Exception {
        for (String fragment : FRAGMENTS) {
            CompletableFuture<HttpAnswer> first = client.exchange(endpoint, CALL, TIMEOUT);
            try (Socket connection = server.accept()) {
                answer(connection, SUCCESS);
                first.join();
                write(connection, fragment);
                assertThat(connection.getInputStream().read()).isEqualTo(-1);

                assertNextCallUsesNewConnection(fragment);
            }
        }
    }

    @Example
    void bytesThatTheEventLoopHasNotReadYetAreNoticedBeforeTheNextCallIsSent() throws Exception {
        for (String fragment : FRAGMENTS) {
            CompletableFuture<HttpAnswer> first = client.exchange(endpoint, CALL, TIMEOUT);
            try (Socket connection = server.accept()) {
                connection.setTcpNoDelay(true);
                answer(connection, SUCCESS);
                first.join();
                CountDownLatch sent = new CountDownLatch(1);
                group.next().execute(() -> {
                    try {
                        sent.await();
                        // Loopback has delivered the bytes by then.
                        Thread.sleep(20);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                CompletableFuture<Void> release = CompletableFuture.runAsync(() -> {
                    try {
                        Thread.sleep(20);
                        write(connection, fragment);
                        sent.countDown();
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });

                assertNextCallUsesNewConnection(fragment);
                release.join();
            }
        }
    }

    @Example
    void aConnectionThatTheServerHasClosedIsNoticedBeforeTheNextCallIsSent() throws Exception {
        CompletableFuture<HttpAnswer> first = client.exchange(endpoint, CALL, TIMEOUT);
        CountDownLatch closed = new CountDownLatch(1);
        try (Socket connection = server.accept()) {
            answer(connection, SUCCESS);
            first.join();
            group.next().execute(() -> {
                try {
                    closed.await();
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        CompletableFuture<HttpAnswer> second = client.exchange(endpoint, CALL, TIMEOUT);
        closed.countDown();
        try (Socket connection = server.accept()) {
            answer(connection, SUCCESS);
            assertThat(second.join().text()).isEqualTo("hi");
        }
        assertThat(reported).isEmpty();
    }

    /** Guards against a late second response to an earlier call with the same id. */
    @Example
    void aCallIsNotSentOnTheConnectionOfAnEarlierCallWithItsId() throws Exception {
        HttpCall call = new HttpCall(
                "GET",
                "/",
                ImmutableListMultimap.of("Request-Id", "a"),
                ImmutableList.of(),
                true,
                Optional.of(new CorrelationId("Request-Id", "a")));
        String success = SUCCESS.replace("\r\n\r\n", "\r\nRequest-Id: a\r\n\r\n");
        CompletableFuture<HttpAnswer> first = client.exchange(endpoint, call, TIMEOUT);
        try (Socket connection = server.accept()) {
            answer(connection, success);
            first.join();
            CompletableFuture<HttpAnswer> second = client.exchange(endpoint, call, TIMEOUT);
            try (Socket other = server.accept()) {
                answer(other, FAILURE.replace("\r\n\r\n", "\r\nRequest-Id: a\r\n\r\n"));
                assertThat(second.join().status()).isEqualTo(500);
            }
        }
    }
}
