package org.boragebarrow.http.client;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.http.engine.HttpEngineControl;
import org.boragebarrow.http.platform.HttpObjectStore;
import org.boragebarrow.http.platform.HttpTableService;
import org.boragebarrow.http.service.HttpServiceClient;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.EngineControl;
import org.boragebarrow.port.ServiceClient;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against adapters that believe a response whose head is malformed. */
class MalformedResponseReadersTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final AttemptId ATTEMPT = AttemptId.parse("host#1/2");
    private static final String ROWS = "{\"rows\":[]}";
    private static final String COMMITTED = "{\"outcome\":\"COMMITTED\"}";
    private static final String HOLDINGS = "{\"sequences\":[],\"reservations\":[],\"exports\":[]}";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);
    private final EngineControl engines = new HttpEngineControl(client, TIMEOUT);

    @AfterProperty
    void shutDown() {
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** A call whose future fails if its response is not believed. */
    private interface Call {
        CompletableFuture<?> send(Endpoint endpoint);
    }

    private static Target target(TargetKind kind, Endpoint endpoint) {
        Optional<ServiceName> service =
                kind == TargetKind.SERVICE ? Optional.of(ServiceName.of("s")) : Optional.empty();
        return new Target(TargetId.of("t"), kind, AvailabilityZoneId.of("a"), endpoint, service, false);
    }

    private static Target engine(Endpoint endpoint) {
        return target(TargetKind.ENGINE, endpoint);
    }

    private HttpObjectStore objects(Endpoint endpoint) {
        return new HttpObjectStore(client, endpoint, TIMEOUT);
    }

    private TableService table(Endpoint endpoint) {
        return new HttpTableService(client, endpoint, TIMEOUT);
    }

    private CompletableFuture<Void> callService(Endpoint endpoint) {
        CompletableFuture<Void> end = new CompletableFuture<>();
        ServiceClient.Call call = new ServiceClient.Call(
                RequestId.of("r"), ATTEMPT, "GET", "/", ImmutableListMultimap.of(), ImmutableList.of(), TIMEOUT);
        new HttpServiceClient(client).call(target(TargetKind.SERVICE, endpoint), call, new ServiceClient.Listener() {
            @Override
            public void onHead(int status, ImmutableListMultimap<String, String> headers) {}

            @Override
            public void onBody(ByteBuffer part) {}

            @Override
            public void onEnd() {
                end.complete(null);
            }

            @Override
            public void onFailure(TargetFailure failure) {
                end.completeExceptionally(new HttpCallException(failure.sent(), failure.message()));
            }
        });
        return end;
    }

    private CompletableFuture<Void> commit(Endpoint endpoint) {
        return table(endpoint).commit(ImmutableList.of(), ImmutableList.of()).thenAccept(result -> {
            if (result instanceof TableService.Unknown) {
                throw new IllegalStateException("the outcome is unknown");
            }
        });
    }

    /** Returns each call with a body that it believes. */
    private Map<String, Map.Entry<Call, String>> calls() {
        return ImmutableMap.<String, Map.Entry<Call, String>>builder()
                .put("reserve", Map.entry(e -> engines.reserve(engine(e), ATTEMPT, 100, TIMEOUT), ""))
                .put("cancel", Map.entry(e -> engines.cancel(engine(e), ATTEMPT), ""))
                .put("release", Map.entry(e -> engines.release(engine(e), ATTEMPT), ""))
                .put("holdings", Map.entry(e -> engines.holdings(engine(e)), HOLDINGS))
                .put("service", Map.entry(this::callService, "x"))
                .put("put object", Map.entry(e -> objects(e).put("k", new byte[1]), ""))
                .put("get object", Map.entry(e -> objects(e).get("k"), "x"))
                .put("delete object", Map.entry(e -> objects(e).delete("k"), ""))
                .put("get row", Map.entry(e -> table(e).get("k"), ROWS))
                .put("scan rows", Map.entry(e -> table(e).scan("k", 1), ROWS))
                .put("commit", Map.entry(this::commit, COMMITTED))
                .buildOrThrow();
    }

    private static boolean isBelieved(Call call, String head, String body) throws Exception {
        String response = "HTTP/1.1 " + head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (ScriptedServer server = ScriptedServer.start(response, false)) {
            return call.send(server.endpoint())
                    .handle((result, failure) -> failure == null)
                    .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        }
    }

    @Example
    void noAdapterBelievesAResponseWithAMalformedHead() throws Exception {
        for (Map.Entry<String, Map.Entry<Call, String>> entry : calls().entrySet()) {
            Call call = entry.getValue().getKey();
            String body = entry.getValue().getValue();

            assertWithMessage(entry.getKey())
                    .that(isBelieved(call, "200 OK", body))
                    .isTrue();
            for (String head : List.of("000 OK", "999 OK", "0200 OK", "200 OK\r\nX-A : 1", "200 OK\r\nX A: 1")) {
                assertWithMessage(entry.getKey() + ", " + head)
                        .that(isBelieved(call, head, body))
                        .isFalse();
            }
        }
    }
}
