package org.boragebarrow.http.client;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;

import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against responses that are believed although their head is malformed. */
class HttpClientMalformedHeadTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String BODY = "\r\nContent-Length: 2\r\n\r\nhi";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);

    @AfterProperty
    void shutDown() {
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Returns the status and the body, or what went wrong. */
    private String receive(String response) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(response, false)) {
            return client.exchange(server.endpoint(), HttpCall.of("GET", "/"), TIMEOUT)
                    .handle((answer, failure) ->
                            failure == null ? answer.status() + " " + answer.text() : "failed: " + failure.getMessage())
                    .join();
        }
    }

    private void assertMalformed(String head) throws Exception {
        assertWithMessage(head).that(receive(head + BODY)).startsWith("failed: malformed response");
    }

    @Example
    void aStatusOutsideTheDefinedClassesIsMalformed() throws Exception {
        for (String status : List.of("000", "001", "099", "600", "700", "999")) {
            assertMalformed("HTTP/1.1 " + status);
            assertMalformed("HTTP/1.1 " + status + " ");
            assertMalformed("HTTP/1.1 " + status + " OK");
            assertMalformed("HTTP/1.0 " + status + " OK");
        }
    }

    @Example
    void aStatusThatIsNotThreeDigitsIsMalformed() throws Exception {
        for (String status : List.of(
                "", "2", "20", "2000", "0200", "00200", "+200", "-200", "+20", "2 00", "20 0", "2\t00", "200.0", "2e2",
                "0xc8", "200OK", "2\u00000", "OK")) {
            assertMalformed("HTTP/1.1 " + status);
            assertMalformed("HTTP/1.1 " + status + " OK");
        }
    }

    @Example
    void anyFinalStatusOfTheDefinedClassesIsAccepted() throws Exception {
        for (int status = 200; status < 600; status++) {
            String expected = status == 204 || status == 304 ? status + " " : status + " hi";
            String head = "HTTP/1.1 " + status + (status % 2 == 0 ? " Phrase" : "");

            assertWithMessage(head).that(receive(head + BODY)).isEqualTo(expected);
        }
    }

    @Example
    void anyInformationalStatusIsSkipped() throws Exception {
        int[] statuses = IntStream.range(100, 200)
                .filter(status -> status != 101)
                .toArray();
        for (int status : statuses) {
            String response = "HTTP/1.1 " + status + " Wait\r\n\r\nHTTP/1.1 200 OK" + BODY;

            assertWithMessage(response).that(receive(response)).isEqualTo("200 hi");
        }
    }
}
