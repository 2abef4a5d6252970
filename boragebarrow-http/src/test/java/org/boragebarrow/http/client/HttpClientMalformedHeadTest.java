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
                "",
                "2",
                "20",
                "2000",
                "0200",
                "00200",
                "+200",
                "-200",
                "+20",
                "2 00",
                "20 0",
                "2\t00",
                "200.0",
                "2e2",
                "0xc8",
                "200OK",
                "2\u00000",
                "OK")) {
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
        int[] statuses =
                IntStream.range(100, 200).filter(status -> status != 101).toArray();
        for (int status : statuses) {
            String response = "HTTP/1.1 " + status + " Wait\r\n\r\nHTTP/1.1 200 OK" + BODY;

            assertWithMessage(response).that(receive(response)).isEqualTo("200 hi");
        }
    }

    private void assertMalformedField(String line) throws Exception {
        assertWithMessage(line)
                .that(receive("HTTP/1.1 200 OK\r\n" + line + BODY))
                .startsWith("failed: malformed response");
        assertWithMessage(line)
                .that(receive("HTTP/1.1 200 OK\r\nX-Z: 1\r\nContent-Length: 2\r\n" + line + "\r\n\r\nhi"))
                .startsWith("failed: malformed response");
    }

    @Example
    void aBlankInTheNameOfAFieldIsMalformed() throws Exception {
        for (String line : List.of(
                "X-A : 1", "X-A  : 1", "X-A\t: 1", "X-A \t: 1", "X A: 1", "X\tA: 1", "X A : 1", ": 1", "X-A :")) {
            assertMalformedField(line);
        }
        assertMalformed("HTTP/1.1 200 OK\r\n X-A: 1");
        assertMalformed("HTTP/1.1 200 OK\r\n\tX-A: 1");
    }

    @Example
    void aControlByteInTheNameOfAFieldIsMalformed() throws Exception {
        for (char control : new char[] {0, 1, 8, 0x0b, 0x0c, '\r', 0x1f, 0x7f, 0xa0}) {
            assertMalformedField("X" + control + "A: 1");
            assertMalformedField("X-A" + control + ": 1");
            assertMalformedField(control + "X-A: 1");
        }
        assertMalformedField("X-A");
        assertMalformedField("X A");
    }

    @Example
    void aBlankAfterTheNameOfALengthDoesNotDelimitTheBody() throws Exception {
        for (String line : List.of(
                "Content-Length : 2",
                "Content-Length\t: 2",
                "Transfer-Encoding : chunked",
                "Content-Length: 5\r\nTransfer-Encoding : chunked",
                "Content-Length : 2\r\nContent-Length: 5")) {
            assertWithMessage(line)
                    .that(receive("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
                    .startsWith("failed: malformed response");
        }
    }

    @Example
    void aBlankInTheNameOfAFieldOfATrailerIsMalformed() throws Exception {
        String chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n";

        assertWithMessage("blank").that(receive(chunks + "X-A : 1\r\n\r\n")).startsWith("failed: malformed response");
        assertWithMessage("no blank").that(receive(chunks + "X-A: 1\r\n\r\n")).isEqualTo("200 hi");
    }

    @Example
    void blanksAroundTheValueOfAFieldAreAccepted() throws Exception {
        for (String line : List.of(
                "X-A:1",
                "X-A:  1",
                "X-A:\t1",
                "X-A: 1 ",
                "X-A: 1\t",
                "X-A: a b",
                "X-A: 1\r\n 2",
                "X-A:",
                "X-A: 1\r\n\t2\r\n 3",
                "X-A: a:b : c",
                "!#$%&'*+-.^_`|~09aZ: 1")) {
            assertWithMessage(line)
                    .that(receive("HTTP/1.1 200 OK\r\n" + line + BODY))
                    .isEqualTo("200 hi");
        }
    }
}
