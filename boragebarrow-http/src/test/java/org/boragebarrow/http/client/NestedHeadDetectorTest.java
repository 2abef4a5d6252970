package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against a body that is completed by another response. */
class NestedHeadDetectorTest {
    private static final String HEAD = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\nrequest-id:  a \r\n\r\n";

    /** The stack of a host's event loops on the smallest machines, in bytes. */
    private static final long SMALL_STACK_BYTES = 256 << 10;

    private static NestedHeadDetector detector() {
        return new NestedHeadDetector("Request-Id", "a"::equals);
    }

    private static boolean feed(NestedHeadDetector detector, String part) {
        return detector.feed(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
    }

    @Example
    void aHeadIsFoundWhereverTheBodyIsCut() {
        String body = "some HTTP/1 text HTTP/1.1 20 HTTP/1.1" + HEAD;
        for (int cut = 0; cut <= body.length(); cut++) {
            NestedHeadDetector detector = detector();
            boolean found = feed(detector, body.substring(0, cut)) | feed(detector, body.substring(cut));

            assertWithMessage("cut at %s", cut).that(found).isTrue();
        }
    }

    @Example
    void aHeadThatContinuesBehindTheBodyIsFoundAndOneThatBeginsThereIsNot() {
        for (int cut = 1; cut < HEAD.length() - 4; cut++) {
            NestedHeadDetector detector = detector();
            assertThat(feed(detector, "body" + HEAD.substring(0, cut))).isFalse();

            assertWithMessage("cut at %s", cut)
                    .that(detector.continuesIn(HEAD.substring(cut)))
                    .isTrue();
        }
        NestedHeadDetector whole = detector();
        feed(whole, "body");
        assertThat(whole.continuesIn(HEAD)).isFalse();
    }

    @Example
    void aQuotedResponseWithoutTheIdOfACallIsAccepted() {
        NestedHeadDetector detector = detector();
        assertThat(feed(detector, HEAD.replace(" a ", " b "))).isFalse();
        assertThat(feed(detector, HEAD.replace("request-id", "x"))).isFalse();
        assertThat(feed(detector, HEAD.replace("\r\n", "\n"))).isFalse();
        assertThat(feed(detector, "HTTP/1.1 200 OK\r\n\r\nrequest-id: a\r\n")).isFalse();
    }

    /** Guards against a stack that grows with the lines of a body. */
    @Example
    void aBodyOfManyShortLinesNeedsNoDeepStack() throws Exception {
        String body = "HTTP/1.1 200 OK\r\n" + "a\r\n".repeat(100_000) + HEAD;
        CompletableFuture<Boolean> found = new CompletableFuture<>();
        Thread reader = new Thread(
                null,
                () -> {
                    try {
                        found.complete(feed(detector(), body));
                    } catch (StackOverflowError e) {
                        found.completeExceptionally(e);
                    }
                },
                "reader",
                SMALL_STACK_BYTES);
        reader.start();

        assertThat(found.get(20, TimeUnit.SECONDS)).isTrue();
    }
}
