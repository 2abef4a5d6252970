package org.boragebarrow.http.server;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.RequestException;

import static com.google.common.truth.Truth.assertThat;

class HttpServerTest {
    private static final Duration LONG = Duration.ofMinutes(10);
    private static final Duration SHORT = Duration.ofMillis(200);
    private static final Duration MEDIUM = Duration.ofSeconds(2);
    private static final int READS_PER_IDLE_TIMEOUT = 20;
    private static final int SLOW_READS = 2 * READS_PER_IDLE_TIMEOUT;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long PAUSE_MILLIS = 5;
    private static final int MAX_WRITTEN_BYTES = 64 << 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScriptedHandler handler = new ScriptedHandler();

    private HttpServer server;

    @AfterProperty
    void shutDown() {
        server.closeNow();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private RawConnection startAndConnect(Duration idleTimeout, Duration receiveTimeout) throws IOException {
        ServerLimits limits =
                new ServerLimits(100, 1_024, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES, idleTimeout, receiveTimeout);
        server = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), limits, handler);
        return new RawConnection(server.endpoint());
    }

    private RawConnection startAndConnect() throws IOException {
        return startAndConnect(LONG, LONG);
    }

    private static String sendUntilAnswered(RawConnection caller, String part)
            throws IOException, InterruptedException {
        while (!caller.hasInput()) {
            caller.send(part);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return caller.readUntilClosed();
    }

    /** Guards against callers that keep all others out with connections on which they were only refused. */
    @Example
    void callersWhoseRequestsFailedMakeRoomForOthers() throws Exception {
        ServerLimits limits = new ServerLimits(2, 1_024, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES, LONG, LONG);
        server = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), limits, handler);
        try (RawConnection first = new RawConnection(server.endpoint());
                RawConnection second = new RawConnection(server.endpoint())) {
            first.send("GET /fault HTTP/1.1\r\n\r\n").readUntil("IllegalStateException");
            second.send("GET /fault HTTP/1.1\r\n\r\n").readUntil("IllegalStateException");
            try (RawConnection other = new RawConnection(server.endpoint())) {
                other.send("GET /a HTTP/1.1\r\n\r\n");
                assertThat(other.readUntil("/a 0")).startsWith("HTTP/1.1 200");
            }
            assertThat(server.evictedConnections()).isEqualTo(1);
        }
    }

    @Example
    void callersThatWereServedKeepTheirPlaces() throws Exception {
        ServerLimits limits = new ServerLimits(1, 1_024, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES, LONG, LONG);
        server = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), limits, handler);
        try (RawConnection served = new RawConnection(server.endpoint())) {
            served.send("GET /a HTTP/1.1\r\n\r\n").readUntil("/a 0");
            assertThat(server.hasRoom()).isFalse();
            try (RawConnection other = new RawConnection(server.endpoint())) {
                assertThat(other.readUntilClosed()).isEmpty();
            }
            served.send("GET /b HTTP/1.1\r\n\r\n");
            assertThat(served.readUntil("/b 0")).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against proper bodies that are refused on connections which are older than the limit. */
    @Example
    void aConnectionFollowsTheLimitOfBodiesAndIsClosedOnceOthersHaveChanged() throws Exception {
        AtomicReference<ServerLimits> limits =
                new AtomicReference<>(new ServerLimits(100, 1_024, 10, 2 * MAX_BODY_BYTES, LONG, LONG));
        server = HttpServer.start(
                group, Endpoint.of("127.0.0.1", 0), limits::get, MemoryAccount.of(2 * MAX_BODY_BYTES), handler);
        try (RawConnection caller = new RawConnection(server.endpoint())) {
            caller.send("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789")
                    .readUntil("/a 9");
            limits.set(new ServerLimits(100, 1_024, 20, 2 * MAX_BODY_BYTES, LONG, LONG));
            caller.send("POST /b HTTP/1.1\r\nContent-Length: 18\r\n\r\n123456789123456789");

            assertThat(caller.readUntilClosed()).contains("/b 18");
        }
    }

    /** Guards against connections with an incomplete body that a stopping server closes without a response. */
    @Example
    void aBodyThatIsIncompleteWhenTheServerStopsIsRefused() throws Exception {
        try (RawConnection caller = startAndConnect();
                RawConnection later = new RawConnection(server.endpoint())) {
            caller.send("POST /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\nx");
            awaitBufferedBytes(1);
            server.refuseIncomplete();
            assertThat(caller.readUntil("the host is stopping")).contains("503");
            assertThat(caller.readUntilClosed()).isEmpty();

            later.send("POST /b HTTP/1.1\r\nContent-Length: 1000\r\n\r\nx");
            assertThat(later.readUntilClosed()).contains("SHUTTING_DOWN: the host is stopping");
        }
    }

    @Example
    void aCallerThatWaitsToSendItsBodyToAStoppingServerIsRefused() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            server.refuseIncomplete();
            caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n");
            assertThat(caller.readUntilClosed()).contains("SHUTTING_DOWN: the host is stopping");
        }
    }

    @Example
    void completeRequestsAreHandledWhileIncompleteOnesAreRefused() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            server.refuseIncomplete();
            caller.send("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
            assertThat(caller.readUntil("/a 3")).contains("200");
        }
    }

    /** Guards against a stopping server that cuts a response which its caller is still reading. */
    @Example
    void aResponseThatIsStillBeingReadIsNotCutWhenTheServerCloses() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /large HTTP/1.1\r\n\r\n");
            caller.readUntil("\r\n\r\n");
            CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> server.closeGracefully(LONG));
            long read = 0;
            for (int bytes = caller.skip(); bytes > 0; bytes = caller.skip()) {
                read += bytes;
            }
            closed.get(20, TimeUnit.SECONDS);

            assertThat(read).isEqualTo(ScriptedHandler.LARGE_BYTES);
        }
    }

    @Example
    void aBodyInBlocksIsHeldUntilItsCallerReadsIt() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /blocks HTTP/1.1\r\n\r\n");
            caller.readUntil("\r\n\r\n");
            assertThat(handler.writtenBytes.get()).isLessThan(ScriptedHandler.LARGE_BYTES);
            caller.read(ScriptedHandler.LARGE_BYTES);
            assertThat(handler.writtenBytes.get()).isEqualTo(ScriptedHandler.LARGE_BYTES);

            caller.send("GET /a HTTP/1.1\r\n\r\n");
            assertThat(caller.readUntil("/a 0")).startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void blocksThatACallerLeavesUnreadAreFreed() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /blocks HTTP/1.1\r\n\r\n");
            caller.readUntil("\r\n\r\n");
        }
        assertThat(handler.awaitDisconnect()).isEqualTo("/blocks");
        assertThat(handler.writtenBytes.get()).isEqualTo(ScriptedHandler.LARGE_BYTES);
    }

    @Example
    void aStoppingServerWritesAllBlocksAndCloses() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /blocks HTTP/1.1\r\n\r\n");
            caller.readUntil("\r\n\r\n");
            CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> server.closeGracefully(LONG));
            caller.read(ScriptedHandler.LARGE_BYTES);

            assertThat(caller.readUntilClosed()).isEmpty();
            closed.get(20, TimeUnit.SECONDS);
        }
    }

    @Example
    void idleConnectionsDoNotDelayTheEndOfAServer() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /a HTTP/1.1\r\n\r\n");
            caller.readUntil("/a 0");
            server.closeGracefully(LONG);
            assertThat(caller.readUntilClosed()).isEmpty();
        }
    }

    private void awaitBufferedBytes(long bytes) throws InterruptedException {
        while (server.bufferedBytes() < bytes) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    @Example
    void aHeadThatIsSentTooSlowlyIsRefused() throws Exception {
        try (RawConnection caller = startAndConnect(LONG, SHORT)) {
            caller.send("GET / HTTP/1.1\r\nX: ");
            assertThat(sendUntilAnswered(caller, "x"))
                    .contains("RECEIVE_TIMED_OUT: the request was not received completely in time");
        }
    }

    @Example
    void aBodyThatIsSentTooSlowlyIsRefused() throws Exception {
        try (RawConnection caller = startAndConnect(LONG, SHORT)) {
            caller.send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
            assertThat(sendUntilAnswered(caller, "x"))
                    .contains("RECEIVE_TIMED_OUT: the request was not received completely in time");
        }
    }

    @Example
    void aBodyAboveTheMinimumRateMayExceedTheReceiveTimeout() throws Exception {
        try (RawConnection caller = startAndConnect(LONG, SHORT)) {
            caller.send("POST /big HTTP/1.1\r\nConnection: close\r\nContent-Length: " + MAX_BODY_BYTES + "\r\n\r\n");
            caller.send(new byte[MAX_BODY_BYTES / 2]);
            TimeUnit.MILLISECONDS.sleep(2 * SHORT.toMillis());
            caller.send(new byte[MAX_BODY_BYTES / 2]);
            assertThat(caller.readUntilClosed()).endsWith("/big " + MAX_BODY_BYTES);
        }
    }

    @Example
    void theReceiveTimeoutDoesNotRunBetweenRequests() throws Exception {
        try (RawConnection caller = startAndConnect(LONG, SHORT)) {
            caller.send("GET /one HTTP/1.1\r\n\r\n").readUntil("/one 0");
            TimeUnit.MILLISECONDS.sleep(2 * SHORT.toMillis());
            assertThat(caller.send("GET /two HTTP/1.1\r\n\r\n").readUntil("/two 0"))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void aDisconnectDuringABusyEventLoopIsDetectedTogetherWithTheRequest() throws Exception {
        CompletableFuture<Boolean> openOnRequest = new CompletableFuture<>();
        ServerLimits limits = new ServerLimits(100, 1_024, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES, LONG, LONG);
        server = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), limits, new ServerHandler() {
            @Override
            public void onRequest(ServerRequest request, ServerResponse response) {
                response.eventLoop().execute(() -> openOnRequest.complete(response.isOpen()));
            }

            @Override
            public void onRefused(RequestException refusal, ServerResponse response) {
                openOnRequest.completeExceptionally(refusal);
            }
        });
        CountDownLatch releaseLoop = new CountDownLatch(1);
        try (RawConnection caller = new RawConnection(server.endpoint())) {
            while (server.connections() == 0) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            group.execute(() -> Uninterruptibles.awaitUninterruptibly(releaseLoop));
            caller.send("GET / HTTP/1.1\r\n\r\n");
        }
        releaseLoop.countDown();

        assertThat(openOnRequest.get(MEDIUM.toSeconds(), TimeUnit.SECONDS)).isFalse();
    }

    @Example
    void anIdleConnectionIsClosedSilently() throws Exception {
        try (RawConnection caller = startAndConnect(SHORT, LONG)) {
            assertThat(caller.readUntilClosed()).isEmpty();
        }
    }

    @Example
    void aRefusedCallerReceivesTheErrorWhileItIsStillSending() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("POST / HTTP/1.1\r\nContent-Length: " + 32 * MAX_BODY_BYTES + "\r\n\r\n");
            for (int sent = 0; sent < 32; sent++) {
                caller.send(new byte[MAX_BODY_BYTES]);
            }
            assertThat(caller.readUntilClosed()).contains("REQUEST_TOO_LARGE");
            assertThat(server.bufferedBytes()).isEqualTo(0);
        }
    }

    @Example
    void aRefusedCallerThatSendsSlowlyReceivesTheError() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("POST / HTTP/1.1\r\nContent-Length: " + 32 * MAX_BODY_BYTES + "\r\n\r\n");
            for (int sent = 0; sent < 32; sent++) {
                Thread.sleep(100);
                caller.send(new byte[MAX_BODY_BYTES]);
            }
            assertThat(caller.readUntilClosed()).contains("REQUEST_TOO_LARGE");
        }
    }

    @Example
    void theBodyLimitAppliesToChunkedBodies() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = Integer.toHexString(MAX_BODY_BYTES) + "\r\n" + "x".repeat(MAX_BODY_BYTES) + "\r\n";
            caller.send(chunk).send(chunk);
            assertThat(caller.readUntilClosed()).contains("REQUEST_TOO_LARGE");
        }
    }

    @Example
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /hold HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\nConnection: close\r\n\r\n");
            ServerResponse first = handler.awaitHeldResponse();
            first.eventLoop().execute(() -> ScriptedHandler.answer(first, 200, "first"));
            assertThat(caller.readUntilClosed()).containsMatch("(?s)first.*/second 0$");
        }
    }

    /** Guards against requests that are decoded long before their turn, to many times their size. */
    @Example
    void requestsSentAheadAreNotDecodedBeforeTheirTurn() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /hold HTTP/1.1\r\n\r\n");
            ServerResponse first = handler.awaitHeldResponse();
            long heldByOne = server.bufferedBytes();
            caller.send("GET /next HTTP/1.1\r\n\r\n".repeat(500));
            awaitBufferedBytes(heldByOne + 1);

            assertThat(server.bufferedBytes()).isLessThan(64L << 10);
            first.eventLoop().execute(() -> ScriptedHandler.answer(first, 200, "first"));
            caller.send("GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
            assertThat(caller.readUntilClosed()).containsMatch("(?s)first.*/next 0.*/last 0$");
        }
    }

    @Example
    void aNewConnectionTakesThePlaceOfOneThatNeverCompletedARequest() throws Exception {
        ServerLimits limits = new ServerLimits(2, 1_024, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES, LONG, LONG);
        server = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), limits, handler);
        try (RawConnection useful = new RawConnection(server.endpoint());
                RawConnection useless = new RawConnection(server.endpoint())) {
            useful.send("GET /one HTTP/1.1\r\n\r\n").readUntil("/one 0");
            useless.send("GET /");
            while (server.connections() < 2) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            try (RawConnection next = new RawConnection(server.endpoint())) {
                assertThat(next.send("GET /two HTTP/1.1\r\n\r\n").readUntil("/two 0"))
                        .contains("200");
            }
            assertThat(server.evictedConnections()).isEqualTo(1);
            assertThat(useful.send("GET /three HTTP/1.1\r\n\r\n").readUntil("/three 0"))
                    .contains("200");
        }
    }

    @Example
    void aMalformedPipelinedRequestDoesNotAffectThePrecedingResponse() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("GET /hold HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
            ServerResponse first = handler.awaitHeldResponse();
            first.eventLoop().execute(() -> ScriptedHandler.answer(first, 200, "first"));
            assertThat(caller.readUntilClosed()).containsMatch("(?s)^HTTP/1.1 200.*first.*HTTP/1.1 400.*BAD_REQUEST");
        }
    }

    @Example
    void aClosedConnectionIsDetectedWhileARequestIsInProgress() throws Exception {
        RawConnection caller = startAndConnect().send("GET /hold HTTP/1.1\r\n\r\n");
        handler.awaitHeldResponse();
        caller.close();
        assertThat(handler.awaitDisconnect()).isEqualTo("/hold");
    }

    @Example
    void aHalfClosedConnectionIsDetectedWhileARequestIsInProgress() throws Exception {
        try (RawConnection caller = startAndConnect().send("GET /hold HTTP/1.1\r\n\r\n")) {
            handler.awaitHeldResponse();
            caller.shutdownOutput();
            assertThat(handler.awaitDisconnect()).isEqualTo("/hold");
        }
    }

    @Example
    void status100IsSentWhenTheCallerExpectsIt() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("POST /late HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            assertThat(caller.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 100 Continue");
            assertThat(caller.send("hi").readUntil("/late 2")).startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void status100IsNotSentForABodyThatIsTooLong() throws Exception {
        try (RawConnection caller = startAndConnect()) {
            caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9000000\r\n\r\n");
            assertThat(caller.readUntilClosed()).startsWith("HTTP/1.1 413");
        }
    }

    @Example
    void aCallerThatReadsNothingIsDisconnectedAndItsBufferedOutputIsBounded() throws Exception {
        try (RawConnection caller = startAndConnect(SHORT, LONG).send("GET /flood HTTP/1.1\r\n\r\n")) {
            assertThat(handler.awaitDisconnect()).isEqualTo("/flood");
            assertThat(handler.floodedBytes.get()).isLessThan(MAX_WRITTEN_BYTES);
            assertThat(caller.hasInput()).isTrue();
        }
    }

    @Example
    void aSlowReaderReceivesALongResponseCompletely() throws Exception {
        try (RawConnection caller =
                startAndConnect(MEDIUM, LONG).send("GET /flood HTTP/1.1\r\nConnection: close\r\n\r\n")) {
            long received = 0;
            for (int number = 0; number < SLOW_READS; number++) {
                received += caller.skip();
                TimeUnit.MILLISECONDS.sleep(MEDIUM.toMillis() / READS_PER_IDLE_TIMEOUT);
            }
            for (int part = caller.skip(); part >= 0; part = caller.skip()) {
                received += part;
            }
            assertThat(received).isAtLeast(ScriptedHandler.FLOOD_BYTES);
            assertThat(handler.disconnectedPaths).isEmpty();
        }
    }

    /** Guards against a connection that is taken for idle while its last response is still being read. */
    @Example
    void aSlowReaderReceivesALongResponseThatIsAlreadySent() throws Exception {
        try (RawConnection caller = startAndConnect(MEDIUM, LONG).send("GET /large HTTP/1.1\r\n\r\n")) {
            caller.readUntil("\r\n\r\n");
            long received = 0;
            for (int number = 0; number < SLOW_READS; number++) {
                received += caller.skip();
                TimeUnit.MILLISECONDS.sleep(MEDIUM.toMillis() / READS_PER_IDLE_TIMEOUT);
            }
            while (received < ScriptedHandler.LARGE_BYTES) {
                int part = caller.skip();
                assertThat(part).isAtLeast(0);
                received += part;
            }
        }
    }

    @Example
    void anExceptionInTheHandlerIsAnsweredWithStatus500() throws Exception {
        try (RawConnection caller = startAndConnect().send("GET /fault HTTP/1.1\r\nConnection: close\r\n\r\n")) {
            assertThat(caller.readUntilClosed()).containsMatch("(?s)^HTTP/1.1 500.*INTERNAL");
        }
    }

    @Example
    void anExceptionAfterTheResponseHeadClosesTheConnection() throws Exception {
        try (RawConnection caller = startAndConnect().send("GET /late-fault HTTP/1.1\r\n\r\n")) {
            assertThat(caller.readUntilClosed()).endsWith("transfer-encoding: chunked\r\n\r\n");
        }
    }
}
