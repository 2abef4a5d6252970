package org.boragebarrow.http.server;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;

import static com.google.common.truth.Truth.assertThat;

/** Guards against requests that are joined from two: the path of one with the id and the body of another. */
class HttpServerJoinedRequestsTest {
    private static final String FIRST =
            "GET /first HTTP/1.1\r\nHost: a\r\nX-Id: aaaa\r\nContent-Length: 0\r\nX-Last: value\r\n\r\n";
    private static final String SECOND =
            "POST /second HTTP/1.1\r\nHost: a\r\nX-Id: bbbb\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer server =
            HttpServer.start(group, Endpoint.of("127.0.0.1", 0), ServerLimits.defaults(), new ScriptedHandler());

    @AfterProperty
    void shutDown() {
        server.closeNow();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private String send(String bytes) throws Exception {
        try (RawConnection caller = new RawConnection(server.endpoint())) {
            return caller.send(bytes).readUntilClosed();
        }
    }

    @Example
    void aRequestThatEndsWithinItsHeadIsNotJoinedToTheNextOne() throws Exception {
        List<String> failures = new ArrayList<>();
        for (int length = 1; length < FIRST.length(); length++) {
            String answer = send(FIRST.substring(0, length) + SECOND);
            // A first line that is joined before the path leaves a request for the second path, or none.
            if (answer.endsWith("/first 2")) {
                failures.add(FIRST.substring(0, length) + ": " + answer);
            }
        }
        assertThat(failures).isEmpty();
    }

    @Example
    void aRequestLineWithinAHeaderIsRefused() throws Exception {
        for (String header : List.of("X-Junk:", "X-Junk: ", "X-Junk: a", "X-Junk: a b", "X-Junk: a\r\n ", "X-Id: a")) {
            String answer = send("GET /first HTTP/1.1\r\n" + header + SECOND);
            assertThat(answer).startsWith("HTTP/1.1 400");
            assertThat(answer).endsWith("BAD_REQUEST: a request line is within a header");
        }
    }

    @Example
    void headersThatMerelyNameAVersionAreAccepted() throws Exception {
        for (String value :
                List.of("HTTP/1.1", "1.1 proxy", "client HTTP/1.1", "a GET /b HTTP/1.1 c", "a b HTTP/1.x")) {
            assertThat(send("GET /a HTTP/1.1\r\nX: " + value + "\r\nConnection: close\r\n\r\n"))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void theRestOfARefusedRequestIsNeverARequest() throws Exception {
        for (String head : List.of(
                "POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n",
                "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\r\n\r\n0\r\n\r\n",
                "POST /a HTTP/1.1\r\nHost: a\r\nHost: a\r\nContent-Length: 1\r\n\r\n")) {
            try (RawConnection caller = new RawConnection(server.endpoint())) {
                caller.send(head);
                TimeUnit.MILLISECONDS.sleep(5);
                caller.send(FIRST + SECOND);
                String answer = caller.readUntilClosed();
                assertThat(answer).startsWith("HTTP/1.1 4");
                assertThat(answer.split("HTTP/1.1 ", -1)).hasLength(2);
            }
        }
    }

    @Example
    void twoHostsAreRefused() throws Exception {
        for (String second : List.of("a", "b")) {
            assertThat(send("GET /a HTTP/1.1\r\nHost: a\r\nHost: " + second + "\r\n\r\n"))
                    .endsWith("BAD_REQUEST: host is repeated");
        }
    }
}
