package org.boragebarrow.http.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.platform.HostListMessages.ListingMessage;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.HostList;

/** Accesses the host list over HTTP. */
public final class HttpHostList implements HostList {
    private static final HttpCall LIST_HOSTS = HttpCall.of("GET", "/hosts");

    private final PlatformCalls calls;

    /** Creates an adapter whose calls fail if they are not answered within the timeout. */
    public HttpHostList(HttpClient client, Endpoint endpoint, Duration timeout) {
        calls = new PlatformCalls(client, endpoint, timeout);
    }

    @Override
    public CompletableFuture<Listing> list() {
        return PlatformCalls.parse(
                calls.exchange(LIST_HOSTS),
                answer ->
                        PlatformCalls.readMessage(answer, ListingMessage.class).toListing());
    }
}
