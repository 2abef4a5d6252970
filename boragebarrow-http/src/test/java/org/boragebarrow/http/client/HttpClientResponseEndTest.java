package org.boragebarrow.http.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a part of a response without a length that is taken for the whole one. */
class HttpClientResponseEndTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final ClientLimits LIMITS =
            new ClientLimits(Duration.ofSeconds(2), Duration.ofSeconds(1), false, true);
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String BODY = "sixteen bytes...";

    /** More than the buffers of both ends of a connection hold, so that a part of it is always still to be written. */
    private static final int UPLOAD_BYTES = 128 << 20;

    private static final int PART_BYTES = 1 << 20;
    private static final int READ_BYTES = 40_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group, LIMITS);
    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final Endpoint endpoint = Endpoint.of("127.0.0.1", server.getLocalPort());

    HttpClientResponseEndTest() throws IOException {
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    }

    @AfterProperty
    void shutDown() throws IOException {
        client.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Records a response and how it ends. */
    private static final class Recorder implements StreamListener {
        private final StringBuilder body = new StringBuilder();
        private final CompletableFuture<Void> bodyReceived = new CompletableFuture<>();
        private final CompletableFuture<String> end = new CompletableFuture<>();

        @Override
        public void onHead(int status, ImmutableListMultimap<String, String> headers) {}

        @Override
        public void onBody(ByteBuf part) {
            body.append(part.toString(StandardCharsets.ISO_8859_1));
            if (body.length() == BODY.length()) {
                bodyReceived.complete(null);
            }
        }

        @Override
        public void onEnd() {
            end.complete("whole: " + body);
        }

        @Override
        public void onFailure(TargetFailure failure) {
            end.complete(failure.disconnected() ? "disconnected" : "failed: " + failure.message());
        }

        void awaitBody() throws Exception {
            bodyReceived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        String awaitEnd() throws Exception {
            return end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static HttpCall upload() {
        ByteBuffer part = ByteBuffer.allocate(PART_BYTES);
        return new HttpCall(
                "POST",
                "/",
                ImmutableListMultimap.of(),
                ImmutableList.copyOf(Collections.nCopies(UPLOAD_BYTES / PART_BYTES, part)),
                false);
    }

    /** Accepts the connection, reads the beginning of the request and sends a response without a length. */
    private Socket answer(int readBytes) throws IOException {
        Socket connection = server.accept();
        connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        connection.getInputStream().readNBytes(readBytes);
        connection.getOutputStream().write((HEAD + BODY).getBytes(StandardCharsets.ISO_8859_1));
        return connection;
    }

    private static Void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
        return null;
    }

    /** Waits until the event loop has done what was requested of it so far. */
    private void awaitLoop() throws Exception {
        group.next().submit(() -> {}).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The client does not read, so only its writing can notice the reset. */
    @Example
    void aResponseIsNotWholeIfWritingTheRequestNoticesTheResetFirst() throws Exception {
        Recorder response = new Recorder();
        EngineClient.CallHandle call = client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            response.awaitBody();
            call.setReadEnabled(false);
            awaitLoop();
            reset(connection);

            assertThat(response.awaitEnd()).isEqualTo("disconnected");
        }
    }

    /** The request has been written, so only reading can notice the reset. */
    @Example
    void aResponseIsNotWholeIfReadingNoticesTheResetFirst() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, HttpCall.of("GET", "/"), response);
        try (Socket connection = answer(1)) {
            response.awaitBody();
            reset(connection);

            assertThat(response.awaitEnd()).isEqualTo("disconnected");
        }
    }

    @Example
    void aResponseIsNotWholeIfItIsResetWhileReadingIsPaused() throws Exception {
        Recorder response = new Recorder();
        EngineClient.CallHandle call = client.stream(endpoint, HttpCall.of("GET", "/"), response);
        try (Socket connection = answer(1)) {
            response.awaitBody();
            call.setReadEnabled(false);
            awaitLoop();
            reset(connection);
            call.setReadEnabled(true);

            assertThat(response.awaitEnd()).isEqualTo("disconnected");
        }
    }

    /** Either writing or reading may notice the reset first. */
    @Example
    void aResponseIsNotWholeIfItIsResetWhileTheRequestIsWritten() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            response.awaitBody();
            reset(connection);

            assertThat(response.awaitEnd()).isEqualTo("disconnected");
        }
    }

    /** As a server that closes its connection with unread bytes may do; the client reads the end first. */
    @Example
    void aResponseIsNotWholeIfAResetFollowsItsEndWhileTheRequestIsWritten() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            response.awaitBody();
            EventLoop loop = group.next();
            loop.submit(() -> {
                        connection.shutdownOutput();
                        return loop.schedule(() -> reset(connection), 1, TimeUnit.MILLISECONDS);
                    })
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

            assertThat(response.awaitEnd()).isEqualTo("disconnected");
        }
    }

    @Example
    void aResponseIsWholeIfItsServerEndsItAndReadsNoMore() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            connection.shutdownOutput();

            assertThat(response.awaitEnd()).isEqualTo("whole: " + BODY);
        }
    }

    @Example
    void aCallThatIsClosedBehindTheEndOfItsResponseStaysSilent() throws Exception {
        Recorder response = new Recorder();
        EngineClient.CallHandle call = client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            response.awaitBody();
            EventLoop loop = group.next();
            loop.submit(() -> {
                        connection.shutdownOutput();
                        return loop.schedule(call::close, 1, TimeUnit.MILLISECONDS);
                    })
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

            drain(connection);
            // Longer than the call would have waited for a reset.
            loop.schedule(() -> {}, 200, TimeUnit.MILLISECONDS).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(response.end.isDone()).isFalse();
        }
    }

    @Example
    void aResponseIsNotWholeIfTheClientClosesItsConnection() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, HttpCall.of("GET", "/"), response);
        try (Socket connection = answer(1)) {
            response.awaitBody();
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);

            assertThat(response.awaitEnd()).isEqualTo("disconnected");
        }
    }

    @Example
    void aResponseIsWholeIfItEndsInOrderWhileTheRequestIsRead() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            connection.shutdownOutput();
            drain(connection);

            assertThat(response.awaitEnd()).isEqualTo("whole: " + BODY);
        }
    }

    @Example
    void aResponseIsWholeIfItEndsInOrderAfterTheRequest() throws Exception {
        Recorder response = new Recorder();
        client.stream(endpoint, HttpCall.of("GET", "/"), response);
        try (Socket connection = answer(1)) {
            connection.shutdownOutput();

            assertThat(response.awaitEnd()).isEqualTo("whole: " + BODY);
        }
    }

    @Example
    void aResponseIsWholeIfItsEndIsReadAfterAPause() throws Exception {
        Recorder response = new Recorder();
        EngineClient.CallHandle call = client.stream(endpoint, upload(), response);
        try (Socket connection = answer(READ_BYTES)) {
            response.awaitBody();
            call.setReadEnabled(false);
            awaitLoop();
            connection.shutdownOutput();
            Thread reader = Thread.ofPlatform().daemon().start(() -> drain(connection));
            call.setReadEnabled(true);

            assertThat(response.awaitEnd()).isEqualTo("whole: " + BODY);
            reader.join();
        }
    }

    /** Reads until the client ends the connection. */
    private static void drain(Socket connection) {
        try {
            InputStream in = connection.getInputStream();
            byte[] bytes = new byte[PART_BYTES];
            while (in.read(bytes) >= 0) {
                // The bytes do not matter.
            }
        } catch (IOException e) {
            // The client closed the connection before it had written the request.
        }
    }
}
