package org.boragebarrow.http.server;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.model.Endpoint;

import static com.google.common.truth.Truth.assertThat;

class HttpServerBadRequestTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer server =
            HttpServer.start(group, Endpoint.of("127.0.0.1", 0), ServerLimits.defaults(), new ScriptedHandler());

    @AfterProperty
    void shutDown() {
        server.closeNow();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void assertRefused(String request, String kind) throws Exception {
        try (RawConnection good = new RawConnection(server.endpoint());
                RawConnection bad = new RawConnection(server.endpoint())) {
            good.send("GET /good HTTP/1.1\r\n");
            String answer = bad.send(request).readUntilClosed();
            assertThat(answer.split("HTTP/1.1 [1-5][0-9][0-9] ", -1)).hasLength(2);
            assertThat(answer).contains("connection: close");
            assertThat(answer).contains("\r\n\r\n" + kind + ": ");
            assertThat(good.send("\r\n").readUntil("/good 0")).startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void bytesThatAreNotHttpAreRefused() throws Exception {
        assertRefused("\u0016\u0003\u0001nonsense\r\n\r\n", "BAD_REQUEST");
    }

    @Example
    void conflictingLengthsAreRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!", "BAD_REQUEST");
    }

    @Example
    void aRepeatedLengthIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "BAD_REQUEST");
    }

    @Example
    void aListOfLengthsIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\nhi", "BAD_REQUEST");
    }

    @Example
    void aNegativeLengthIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "BAD_REQUEST");
    }

    @Example
    void aNonNumericLengthIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nContent-Length: two\r\n\r\nhi", "BAD_REQUEST");
    }

    @Example
    void aLengthWithChunkedEncodingIsRefused() throws Exception {
        String head = "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertRefused(head + "0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n", "BAD_REQUEST");
    }

    @Example
    void anUnknownTransferEncodingIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nhi", "BAD_REQUEST");
    }

    @Example
    void aNonNumericChunkSizeIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n", "BAD_REQUEST");
    }

    @Example
    void aNegativeChunkSizeIsRefused() throws Exception {
        assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nhi\r\n", "BAD_REQUEST");
    }

    @Example
    void aChunkSizeAbove64BitsIsRefused() throws Exception {
        String head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertRefused(head + "fffffffffffffffff\r\nhi\r\n", "BAD_REQUEST");
    }

    @Example
    void anOversizedRequestLineIsRefused() throws Exception {
        assertRefused("GET /" + "x".repeat(20_000) + " HTTP/1.1\r\n\r\n", "REQUEST_TOO_LARGE");
    }

    @Example
    void oversizedHeadersAreRefused() throws Exception {
        String headers = "X: y\r\n".repeat(5_000);
        assertRefused("GET / HTTP/1.1\r\n" + headers + "\r\n", "REQUEST_TOO_LARGE");
    }

    @Example
    void aHeaderThatIsNotUtf8IsRefused() throws Exception {
        assertRefused("GET / HTTP/1.1\r\nRequest-Id: \u00ff\u00fe\r\n\r\n", "BAD_REQUEST");
    }

    @Example
    void aPathThatIsNotUtf8IsRefused() throws Exception {
        assertRefused("GET /\u00c3 HTTP/1.1\r\n\r\n", "BAD_REQUEST");
    }

    @Example
    void aHeaderWithAControlCharacterIsRefused() throws Exception {
        assertRefused("GET / HTTP/1.1\r\nX: a\u0000b\r\n\r\n", "BAD_REQUEST");
    }

    @Example
    void aHeaderWithoutANameIsRefused() throws Exception {
        assertRefused("GET / HTTP/1.1\r\n: y\r\n\r\n", "BAD_REQUEST");
    }
}
