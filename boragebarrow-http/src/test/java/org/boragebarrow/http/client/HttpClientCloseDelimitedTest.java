package org.boragebarrow.http.client;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;

import static com.google.common.truth.Truth.assertThat;

/** Tests calls to servers that end a response by closing the connection or send several responses to one request. */
class HttpClientCloseDelimitedTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ClientLimits LIMITS =
            new ClientLimits(Duration.ofSeconds(2), Duration.ofSeconds(1), false, true);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group, LIMITS);

    @AfterProperty
    void shutDown() {
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static HttpCall call(String id) {
        return new HttpCall(
                "GET",
                "/",
                ImmutableListMultimap.of(),
                ImmutableList.of(),
                true,
                Optional.of(new CorrelationId("Id", id)));
    }

    private HttpAnswer answer(ScriptedServer server, String id) throws Exception {
        return client.exchange(server.endpoint(), call(id), TIMEOUT).get();
    }

    @Example
    void aCloseDelimitedResponseIsComplete() throws Exception {
        try (ScriptedServer server = ScriptedServer.start("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi", false)) {
            assertThat(answer(server, "1").text()).isEqualTo("hi");
        }
    }

    @Example
    void aResponseShorterThanItsDeclaredLengthFails() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.start("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nhi", false)) {
            answer(server, "1");
            throw new AssertionError("a truncated response was accepted as complete");
        } catch (ExecutionException e) {
            assertThat(e).hasCauseThat().isInstanceOf(HttpCallException.class);
        }
    }

    @Example
    void theResponseToAnotherCallIsSkipped() throws Exception {
        String other = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother";
        String own = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nown";
        try (ScriptedServer server = ScriptedServer.start(other + own, false)) {
            assertThat(answer(server, "1").text()).isEqualTo("own");
        }
    }

    @Example
    void theHostHeaderOfTheCallIsSentUnchanged() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        HttpCall call = HttpCall.of("GET", "/").withHeaders(ImmutableListMultimap.of("host", "shop.example"));
        try (ScriptedServer server = ScriptedServer.start(answer, false)) {
            client.exchange(server.endpoint(), call, TIMEOUT).get();
            assertThat(server.lastHead().toLowerCase(Locale.ROOT)).contains("host: shop.example\r\n");
        }
    }
}
