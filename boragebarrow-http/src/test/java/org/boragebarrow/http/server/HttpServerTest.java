package org.boragebarrow.http.server;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

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
    private static final Duration STEADY = Duration.ofSeconds(2);
    private static final int READS_IN_IDLE_TIME = 20;
    private static final int SLOW_READS = 2 * READS_IN_IDLE_TIME;
    private static final int MAX_BODY = 1 << 20;
    private static final long PAUSE_MILLIS = 5;
    private static final int MOST_BUFFERED_BYTES = 64 << 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScriptedHandler handler = new ScriptedHandler();

    private HttpServer server;

    @AfterProperty
    void shutDown() {
        server.closeNow();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private RawCaller call(Duration idleTimeout, Duration receiveTimeout) throws IOException {
        ServerLimits limits = new ServerLimits(100, 1_024, MAX_BODY, 2 * MAX_BODY, idleTimeout, receiveTimeout);
        server = HttpServer.start(group, Endpoint.of("127.0.0.1", 0), limits, handler);
        return new RawCaller(server.endpoint());
    }

    private RawCaller call() throws IOException {
        return call(LONG, LONG);
    }

    private static String trickle(RawCaller caller, String part) throws IOException, InterruptedException {
        while (!caller.isAnswered()) {
            caller.send(part);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return caller.readToClose();
    }

    @Example
    void aTricklingHeadIsRefused() throws Exception {
        try (RawCaller caller = call(LONG, SHORT)) {
            caller.send("GET / HTTP/1.1\r\nX: ");
            assertThat(trickle(caller, "x")).contains("BAD_REQUEST: the request was not received completely in time");
        }
    }

    @Example
    void aTricklingBodyIsRefused() throws Exception {
        try (RawCaller caller = call(LONG, SHORT)) {
            caller.send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
            assertThat(trickle(caller, "x")).contains("BAD_REQUEST: the request was not received completely in time");
        }
    }

    @Example
    void aBodyThatComesFastEnoughMayTakeLongerThanItsHead() throws Exception {
        try (RawCaller caller = call(LONG, SHORT)) {
            caller.send("POST /big HTTP/1.1\r\nConnection: close\r\nContent-Length: " + MAX_BODY + "\r\n\r\n");
            caller.send(new byte[MAX_BODY / 2]);
            TimeUnit.MILLISECONDS.sleep(2 * SHORT.toMillis());
            caller.send(new byte[MAX_BODY / 2]);
            assertThat(caller.readToClose()).endsWith("/big " + MAX_BODY);
        }
    }

    @Example
    void aConnectionThatWaitsForItsNextRequestIsNotLate() throws Exception {
        try (RawCaller caller = call(LONG, SHORT)) {
            caller.send("GET /one HTTP/1.1\r\n\r\n").readTo("/one 0");
            TimeUnit.MILLISECONDS.sleep(2 * SHORT.toMillis());
            assertThat(caller.send("GET /two HTTP/1.1\r\n\r\n").readTo("/two 0"))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void aCallerThatLeftWhileTheHostWasBusyIsKnownToHaveLeftOnceItsRequestIsRead() throws Exception {
        CompletableFuture<Boolean> openOnRequest = new CompletableFuture<>();
        ServerLimits limits = new ServerLimits(100, 1_024, MAX_BODY, 2 * MAX_BODY, LONG, LONG);
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
        try (RawCaller caller = new RawCaller(server.endpoint())) {
            while (server.connections() == 0) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            group.execute(() -> Uninterruptibles.awaitUninterruptibly(releaseLoop));
            caller.send("GET / HTTP/1.1\r\n\r\n");
        }
        releaseLoop.countDown();

        assertThat(openOnRequest.get(STEADY.toSeconds(), TimeUnit.SECONDS)).isFalse();
    }

    @Example
    void anIdleConnectionIsClosedSilently() throws Exception {
        try (RawCaller caller = call(SHORT, LONG)) {
            assertThat(caller.readToClose()).isEmpty();
        }
    }

    @Example
    void aRefusedCallerReadsTheErrorThoughItSendsOn() throws Exception {
        try (RawCaller caller = call()) {
            caller.send("POST / HTTP/1.1\r\nContent-Length: " + 32 * MAX_BODY + "\r\n\r\n");
            for (int sent = 0; sent < 32; sent++) {
                caller.send(new byte[MAX_BODY]);
            }
            assertThat(caller.readToClose()).contains("REQUEST_TOO_LARGE");
            assertThat(server.bufferedBytes()).isEqualTo(0);
        }
    }

    @Example
    void aChunkedBodyIsBoundedToo() throws Exception {
        try (RawCaller caller = call()) {
            caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = Integer.toHexString(MAX_BODY) + "\r\n" + "x".repeat(MAX_BODY) + "\r\n";
            caller.send(chunk).send(chunk);
            assertThat(caller.readToClose()).contains("REQUEST_TOO_LARGE");
        }
    }

    @Example
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (RawCaller caller = call()) {
            caller.send("GET /hold HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\nConnection: close\r\n\r\n");
            ServerResponse first = handler.awaitHeld();
            first.eventLoop().execute(() -> ScriptedHandler.answer(first, 200, "first"));
            assertThat(caller.readToClose()).containsMatch("(?s)first.*/second 0$");
        }
    }

    @Example
    void aMalformedRequestBehindAGoodOneLeavesTheGoodOnesAnswerWhole() throws Exception {
        try (RawCaller caller = call()) {
            caller.send("GET /hold HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
            ServerResponse first = handler.awaitHeld();
            first.eventLoop().execute(() -> ScriptedHandler.answer(first, 200, "first"));
            assertThat(caller.readToClose()).containsMatch("(?s)^HTTP/1.1 200.*first.*HTTP/1.1 400.*BAD_REQUEST");
        }
    }

    @Example
    void aCallerThatClosesIsNoticedWhileItsRequestIsInProgress() throws Exception {
        RawCaller caller = call().send("GET /hold HTTP/1.1\r\n\r\n");
        handler.awaitHeld();
        caller.close();
        assertThat(handler.awaitGone()).isEqualTo("/hold");
    }

    @Example
    void aCallerThatEndsItsOutputIsNoticedWhileItsRequestIsInProgress() throws Exception {
        try (RawCaller caller = call().send("GET /hold HTTP/1.1\r\n\r\n")) {
            handler.awaitHeld();
            caller.endOutput();
            assertThat(handler.awaitGone()).isEqualTo("/hold");
        }
    }

    @Example
    void aBodyIsAskedForWhenTheCallerWaitsForThat() throws Exception {
        try (RawCaller caller = call()) {
            caller.send("POST /late HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            assertThat(caller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 100 Continue");
            assertThat(caller.send("hi").readTo("/late 2")).startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void aBodyThatIsTooLongIsNotAskedFor() throws Exception {
        try (RawCaller caller = call()) {
            caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9000000\r\n\r\n");
            assertThat(caller.readToClose()).startsWith("HTTP/1.1 413");
        }
    }

    @Example
    void aCallerThatReadsNothingBoundsWhatIsWrittenAndIsCutOff() throws Exception {
        try (RawCaller caller = call(SHORT, LONG).send("GET /flood HTTP/1.1\r\n\r\n")) {
            assertThat(handler.awaitGone()).isEqualTo("/flood");
            assertThat(handler.flooded.get()).isLessThan(MOST_BUFFERED_BYTES);
            assertThat(caller.isAnswered()).isTrue();
        }
    }

    @Example
    void aCallerThatReadsKeepsItsAnswerHoweverLongItIs() throws Exception {
        try (RawCaller caller = call(STEADY, LONG).send("GET /flood HTTP/1.1\r\nConnection: close\r\n\r\n")) {
            long received = 0;
            for (int number = 0; number < SLOW_READS; number++) {
                received += caller.skip();
                TimeUnit.MILLISECONDS.sleep(STEADY.toMillis() / READS_IN_IDLE_TIME);
            }
            for (int part = caller.skip(); part >= 0; part = caller.skip()) {
                received += part;
            }
            assertThat(received).isAtLeast(ScriptedHandler.FLOOD_BYTES);
            assertThat(handler.gone).isEmpty();
        }
    }

    @Example
    void aFaultOfTheHandlerIsAnswered() throws Exception {
        try (RawCaller caller = call().send("GET /fault HTTP/1.1\r\nConnection: close\r\n\r\n")) {
            assertThat(caller.readToClose()).containsMatch("(?s)^HTTP/1.1 500.*INTERNAL");
        }
    }

    @Example
    void aFaultWithinAnAnswerBreaksTheAnswerOff() throws Exception {
        try (RawCaller caller = call().send("GET /late-fault HTTP/1.1\r\n\r\n")) {
            assertThat(caller.readToClose()).endsWith("transfer-encoding: chunked\r\n\r\n");
        }
    }
}
