package org.boragebarrow.http.service;

import java.nio.ByteBuffer;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.client.StreamListener;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.ServiceClient;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Calls plain services over HTTP, with a new connection for each call.
 *
 * <p>A service may be closing a kept-alive connection at the moment when it is reused. A call that must not be
 * retried would then fail although the service could have handled it.
 */
public final class HttpServiceClient implements ServiceClient {
    private static final String REQUEST_ID = "Request-Id";
    private static final String ATTEMPT_ID = "Attempt-Id";
    private static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";
    private static final String CONNECTION = "connection";
    private static final Splitter HEADER_NAME_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();
    private static final ImmutableSet<String> HOP_BY_HOP = ImmutableSet.of(
            CONNECTION,
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");
    // The authorization header holds the caller's API key, which is valid for this system and not for its targets.
    private static final ImmutableSet<String> NOT_FORWARDED = ImmutableSet.of("authorization", "host", "expect");
    private static final ImmutableSet<String> REPLACED = ImmutableSet.of(
            Ascii.toLowerCase(REQUEST_ID), Ascii.toLowerCase(ATTEMPT_ID), Ascii.toLowerCase(REQUEST_TIMEOUT));

    private final HttpClient client;

    /** Creates an adapter on the given client. */
    public HttpServiceClient(HttpClient client) {
        this.client = checkNotNull(client);
    }

    @Override
    public EngineClient.CallHandle call(Target service, Call call, Listener listener) {
        checkNotNull(service);
        checkNotNull(call);
        checkNotNull(listener);
        HttpCall httpCall = new HttpCall(call.method(), call.path(), requestHeaders(call), call.body(), false);
        return client.stream(service.endpoint(), httpCall, new ResponseAdapter(listener));
    }

    private static ImmutableListMultimap<String, String> requestHeaders(Call call) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        endToEndHeaders(call.headers()).forEach((name, value) -> {
            String lowerCase = Ascii.toLowerCase(name);
            if (!NOT_FORWARDED.contains(lowerCase) && !REPLACED.contains(lowerCase)) {
                headers.put(name, value);
            }
        });
        headers.put(REQUEST_ID, call.request().value());
        headers.put(ATTEMPT_ID, call.attempt().toString());
        headers.put(REQUEST_TIMEOUT, Long.toString(Math.max(0, call.remaining().toMillis())));
        return headers.build();
    }

    /** Returns the end-to-end headers: all without the hop-by-hop headers and those that Connection lists. */
    static ImmutableListMultimap<String, String> endToEndHeaders(ImmutableListMultimap<String, String> headers) {
        ImmutableSet.Builder<String> excluded = ImmutableSet.<String>builder().addAll(HOP_BY_HOP);
        headers.forEach((name, value) -> {
            if (Ascii.equalsIgnoreCase(name, CONNECTION)) {
                excluded.addAll(HEADER_NAME_SPLITTER.split(Ascii.toLowerCase(value)));
            }
        });
        ImmutableSet<String> excludedNames = excluded.build();
        ImmutableListMultimap.Builder<String, String> kept = ImmutableListMultimap.builder();
        headers.forEach((name, value) -> {
            if (!excludedNames.contains(Ascii.toLowerCase(name))) {
                kept.put(name, value);
            }
        });
        return kept.build();
    }

    private record ResponseAdapter(Listener listener) implements StreamListener {
        @Override
        public void onHead(int status, ImmutableListMultimap<String, String> headers) {
            listener.onHead(status, endToEndHeaders(headers));
        }

        @Override
        public void onBody(ByteBuf part) {
            listener.onBody(ByteBuffer.wrap(ByteBufUtil.getBytes(part)));
        }

        @Override
        public void onEnd() {
            listener.onEnd();
        }

        @Override
        public void onFailure(TargetFailure failure) {
            listener.onFailure(failure);
        }
    }
}
