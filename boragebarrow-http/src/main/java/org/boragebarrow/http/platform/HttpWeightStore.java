package org.boragebarrow.http.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.platform.WeightMessages.RemainingAnswer;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.WeightStore;

/** Accesses the weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {
    private static final HttpCall GET_REMAINING_LOADS = HttpCall.of("GET", "/weights/remaining");

    private final PlatformCalls calls;

    /** Creates an adapter whose calls fail if they are not answered within the timeout. */
    public HttpWeightStore(HttpClient client, Endpoint endpoint, Duration timeout) {
        calls = new PlatformCalls(client, endpoint, timeout);
    }

    @Override
    public CompletableFuture<Integer> remainingLoads() {
        return PlatformCalls.parse(
                calls.exchange(GET_REMAINING_LOADS),
                answer ->
                        PlatformCalls.readMessage(answer, RemainingAnswer.class).remaining());
    }
}
