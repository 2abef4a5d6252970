package org.boragebarrow.http.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.RequestException;

import static com.google.common.truth.Truth.assertThat;

/** Guards against answers that belong to another request of the same connection. */
class HttpServerSeriesTest {
    private static final Pattern LENGTH = Pattern.compile("\r\ncontent-length: (\\d+)\r\n");
    private static final Pattern ID = Pattern.compile("\r\nx-id: (.*)\r\n");
    private static final int SEEDS = 60;
    private static final int MAX_SERIES = 14;
    private static final int MAX_PIECE_BYTES = 90;
    private static final int ROUNDS = 20;
    private static final long PAUSE_MILLIS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EchoHandler handler = new EchoHandler();
    private final HttpServer server =
            HttpServer.start(group, Endpoint.of("127.0.0.1", 0), ServerLimits.defaults(), handler);

    @AfterProperty
    void shutDown() {
        server.closeNow();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** One request and what its answer must describe. */
    private record Request(String id, String method, String path, String bytes, String body) {
        static Request of(String id, String method, String path, String body, boolean chunked, boolean expects) {
            StringBuilder bytes =
                    new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\n");
            if (expects) {
                bytes.append("Expect: 100-continue\r\n");
            }
            if (chunked) {
                int half = body.length() / 2;
                bytes.append("Transfer-Encoding: chunked\r\n\r\n");
                for (String part : List.of(body.substring(0, half), body.substring(half))) {
                    if (!part.isEmpty()) {
                        bytes.append(Integer.toHexString(part.length()))
                                .append("\r\n")
                                .append(part)
                                .append("\r\n");
                    }
                }
                bytes.append("0\r\n\r\n");
            } else {
                bytes.append("Content-Length: ")
                        .append(body.length())
                        .append("\r\n\r\n")
                        .append(body);
            }
            return new Request(id, method, path, bytes.toString(), body);
        }

        String answer() {
            return id + ": " + (method.equals("HEAD") ? "" : method + " " + path + " " + body);
        }
    }

    /** Describes each request in its response, at once or later, whole or in parts, as its path states. */
    private static final class EchoHandler implements ServerHandler {
        private final BlockingQueue<Runnable> held = new LinkedBlockingQueue<>();

        @Override
        public void onRequest(ServerRequest request, ServerResponse response) {
            switch (request.path()) {
                case "/hold" -> held.add(() -> send(request, response));
                case "/release" -> {
                    held.remove().run();
                    send(request, response);
                }
                case "/task" -> response.eventLoop().execute(() -> send(request, response));
                case "/later" -> later(response, () -> send(request, response));
                case "/parts" -> {
                    response.start(200, headers(request));
                    String text = text(request);
                    response.write(bytes(text.substring(0, 3)));
                    later(response, () -> {
                        response.write(bytes(text.substring(3)));
                        later(response, response::end);
                    });
                }
                case "/abort" -> {
                    response.start(200, headers(request));
                    response.write(bytes(text(request)));
                    later(response, response::abort);
                }
                default -> send(request, response);
            }
        }

        private static void later(ServerResponse response, Runnable action) {
            response.eventLoop().schedule(action, 500, TimeUnit.MICROSECONDS);
        }

        private static void send(ServerRequest request, ServerResponse response) {
            response.send(200, headers(request), bytes(text(request)));
        }

        private static ImmutableListMultimap<String, String> headers(ServerRequest request) {
            return ImmutableListMultimap.of("x-id", request.header("x-id").orElse(""));
        }

        private static String text(ServerRequest request) {
            StringBuilder text = new StringBuilder(request.method() + " " + request.path() + " ");
            for (ByteBuffer block : request.body()) {
                text.append(StandardCharsets.ISO_8859_1.decode(block.duplicate()));
            }
            return text.toString();
        }

        private static ByteBuffer bytes(String text) {
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onRefused(RequestException refusal, ServerResponse response) {
            response.send(refusal.kind().status(), ImmutableListMultimap.of(), bytes(refusal.getMessage()));
        }
    }

    /** Reads the next final answer to a request with the method, as its id, a colon and its body. */
    private static String readAnswer(RawConnection caller, String method) throws IOException {
        String head = caller.readUntil("\r\n\r\n");
        while (head.startsWith("HTTP/1.1 100 ")) {
            head = caller.readUntil("\r\n\r\n");
        }
        Matcher id = ID.matcher(head);
        StringBuilder answer = new StringBuilder(id.find() ? id.group(1) : head).append(": ");
        Matcher length = LENGTH.matcher(head);
        if (method.equals("HEAD")) {
            return answer.toString();
        }
        if (length.find()) {
            return answer.append(caller.read(Integer.parseInt(length.group(1)))).toString();
        }
        for (int size = readSize(caller); size > 0; size = readSize(caller)) {
            answer.append(caller.read(size));
            caller.read(2);
        }
        caller.read(2);
        return answer.toString();
    }

    private static int readSize(RawConnection caller) throws IOException {
        return Integer.parseInt(caller.readUntil("\r\n").trim(), 16);
    }

    private static void assertAnswers(String series, RawConnection caller, Iterable<Request> requests)
            throws IOException {
        for (Request request : requests) {
            assertThat(series + " " + readAnswer(caller, request.method())).isEqualTo(series + " " + request.answer());
        }
    }

    /** Guards against a request that overtakes an earlier one, whose answer its caller then takes for that one's. */
    @Example
    void aRequestThatArrivesJustAfterAnAnswerDoesNotOvertakeQueuedOnes() throws Exception {
        List<Request> requests = List.of(
                Request.of("1", "POST", "/hold", "first", false, false),
                Request.of("2", "POST", "/now", "second", true, false),
                Request.of("3", "GET", "/now", "", false, false),
                Request.of("4", "POST", "/now", "fourth", false, false));
        for (int round = 0; round < ROUNDS; round++) {
            // Which of two connections with input is read first cannot be chosen.
            try (RawConnection one = new RawConnection(server.endpoint());
                    RawConnection two = new RawConnection(server.endpoint())) {
                boolean swapped = round % 2 > 0;
                answerAndSend("round " + round, swapped ? two : one, swapped ? one : two, requests);
            }
        }
    }

    /** Lets the first request be answered and the last one arrive in the same iteration of the event loop. */
    private void answerAndSend(String round, RawConnection caller, RawConnection other, List<Request> requests)
            throws Exception {
        int last = requests.size() - 1;
        for (Request request : requests.subList(0, last)) {
            caller.send(request.bytes());
        }
        while (handler.held.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        // Its answer shows that the loop has also read what follows the first request.
        Request preceding = Request.of("5", "GET", "/later", "", false, false);
        other.send(preceding.bytes());
        assertAnswers(round, other, List.of(preceding));
        CountDownLatch releaseLoop = new CountDownLatch(1);
        group.execute(() -> Uninterruptibles.awaitUninterruptibly(releaseLoop));
        Request release = Request.of("6", "GET", "/release", "", false, false);
        other.send(release.bytes());
        caller.send(requests.get(last).bytes());
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        releaseLoop.countDown();

        assertAnswers(round, other, List.of(release));
        assertAnswers(round, caller, requests);
    }

    @Example
    void requestsThatAreCutAtAnyByteGetTheirOwnAnswers() throws Exception {
        List<Request> requests = List.of(
                Request.of("1", "POST", "/now", "first", false, false),
                Request.of("2", "HEAD", "/later", "", false, false),
                Request.of("3", "POST", "/parts", "third", true, true),
                Request.of("4", "GET", "/task", "", false, false));
        StringBuilder bytes = new StringBuilder();
        requests.forEach(request -> bytes.append(request.bytes()));
        try (RawConnection caller = new RawConnection(server.endpoint())) {
            for (int cut = 1; cut < bytes.length(); cut++) {
                caller.send(bytes.substring(0, cut));
                TimeUnit.MILLISECONDS.sleep(1);
                caller.send(bytes.substring(cut));
                assertAnswers("cut at " + cut, caller, requests);
            }
        }
    }

    @Example
    void requestsOfPipelinedSeriesGetTheirOwnAnswers() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<Request> requests = createSeries(random);
            StringBuilder bytes = new StringBuilder();
            requests.forEach(request -> bytes.append(request.bytes()));
            try (RawConnection caller = new RawConnection(server.endpoint())) {
                int sent = 0;
                while (sent < bytes.length()) {
                    int end = Math.min(bytes.length(), sent + 1 + random.nextInt(MAX_PIECE_BYTES));
                    caller.send(bytes.substring(sent, end));
                    TimeUnit.MICROSECONDS.sleep(random.nextInt(400));
                    sent = end;
                }
                assertAnswers("seed " + seed, caller, requests);
            }
        }
    }

    /** Guards against chunks that a caller of HTTP/1.0, which knows none, takes for a part of the body. */
    @Example
    void aStreamToACallerOfHttp10EndsWithItsConnection() throws Exception {
        for (String header : List.of("", "Connection: keep-alive\r\n")) {
            try (RawConnection caller = new RawConnection(server.endpoint())) {
                caller.send("GET /parts HTTP/1.0\r\n" + header + "\r\n");
                String answer = caller.readUntilClosed();
                assertThat(answer).contains("\r\nconnection: close\r\n");
                assertThat(answer).doesNotContain("transfer-encoding");
                assertThat(answer).endsWith("\r\n\r\nGET /parts ");
            }
        }
    }

    @Example
    void aCallerOfHttp10CanTellThatAStreamWasAborted() throws Exception {
        try (RawConnection caller = new RawConnection(server.endpoint())) {
            caller.send("GET /abort HTTP/1.0\r\n\r\n");
            assertThat(readOutcome(caller)).isEqualTo("reset");
        }
    }

    private static String readOutcome(RawConnection caller) {
        try {
            return caller.readUntilClosed();
        } catch (IOException e) {
            return "reset";
        }
    }

    /** Guards against an answer to CONNECT, which has no framing, on a connection that is kept. */
    @Example
    void tunnelsAreRefused() throws Exception {
        try (RawConnection caller = new RawConnection(server.endpoint())) {
            caller.send("CONNECT /parts HTTP/1.1\r\nHost: a\r\n\r\nGET /now HTTP/1.1\r\n\r\n");
            assertThat(caller.readUntilClosed()).matches("(?s)HTTP/1.1 400 .*\r\n\r\nCONNECT is not supported");
        }
    }

    private static List<Request> createSeries(Random random) {
        List<Request> requests = new ArrayList<>();
        List<String> paths = List.of("/now", "/task", "/later", "/parts");
        int size = 2 + random.nextInt(MAX_SERIES);
        for (int number = 0; number < size; number++) {
            int kind = random.nextInt(4);
            String method = List.of("GET", "HEAD", "POST", "POST").get(kind);
            String body = kind < 2 ? "" : ("b" + number).repeat(random.nextInt(40));
            requests.add(Request.of(
                    Integer.toString(number),
                    method,
                    paths.get(random.nextInt(paths.size())),
                    body,
                    kind > 1 && random.nextBoolean(),
                    kind > 1 && random.nextInt(3) == 0));
        }
        return requests;
    }
}
