package org.boragebarrow.standins.web;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.boragebarrow.model.Endpoint;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

class WebServerTest {
    private EventLoopGroup group;

    @BeforeProperty
    void startEventLoops() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterProperty
    void stopEventLoops() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Example
    void aRequestReachesTheHandlerWithDecodedPathAndQuery() throws Exception {
        try (WebServer server = start((request, response) -> response.send(
                200,
                "text/plain",
                (request.method() + request.segments() + request.query() + new String(request.body(), UTF_8))
                        .getBytes(UTF_8)))) {
            assertThat(post(server, "/a%2Fb/c?x=1%202", "body").body()).isEqualTo("POST[a/b, c]{x=[1 2]}body");
        }
    }

    @Example
    void aStreamIsWrittenFromAnotherThread() throws Exception {
        try (WebServer server = start((request, response) -> Thread.ofVirtual().start(() -> {
            response.startStream(200, "text/event-stream");
            response.write("one ");
            response.write("two");
            response.end();
        }))) {
            assertThat(post(server, "/", "").body()).isEqualTo("one two");
        }
    }

    @Example
    void anAbortedStreamFailsAtTheClient() throws Exception {
        try (WebServer server = start((request, response) -> {
            response.startStream(200, "text/event-stream");
            response.write("one ");
            response.abort();
        })) {
            assertThat(requestFails(server)).isTrue();
        }
    }

    @Example
    void aTruncatedResponseFailsAtTheClient() throws Exception {
        try (WebServer server =
                start((request, response) -> response.sendTruncated(200, "text/plain", "answer".getBytes(UTF_8), 3))) {
            assertThat(requestFails(server)).isTrue();
        }
    }

    @Example
    void anIllegalArgumentResultsInBadRequest() throws Exception {
        try (WebServer server = start((request, response) -> request.json())) {
            assertThat(post(server, "/", "{").statusCode()).isEqualTo(400);
        }
    }

    @Example
    void closingTheServerRunsCloseActions() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        WebServer server = start((request, response) -> {
            response.onClose(closed::countDown);
            response.send(200, "text/plain", new byte[0]);
        });
        post(server, "/", "");
        server.close();
        closed.await();
    }

    private WebServer start(WebHandler handler) {
        return WebServer.start(group, Endpoint.of("127.0.0.1", 0), handler);
    }

    private static boolean requestFails(WebServer server) throws Exception {
        try {
            post(server, "/", "");
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private static HttpResponse<String> post(WebServer server, String path, String body) throws Exception {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.endpoint() + path))
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        }
    }
}
