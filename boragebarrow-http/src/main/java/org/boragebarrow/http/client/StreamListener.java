package org.boragebarrow.http.client;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.port.TargetFailure;

/**
 * Receives a response as it arrives.
 *
 * <p>Called on the connection's event loop, and not after the end, a failure or the closing of the handle. If the
 * listener throws, the call fails as {@linkplain TargetFailure#broken broken}.
 */
public interface StreamListener {
    /** Receives where the response comes from, directly before its status and headers. */
    default void onOrigin(ResponseOrigin origin) {}

    /** Receives the status and headers. */
    void onHead(int status, ImmutableListMultimap<String, String> headers);

    /** Receives a part of the body; the buffer is valid only during this call. */
    void onBody(ByteBuf part);

    /**
     * Receives the end of a complete response.
     *
     * <p>The end is given by the length, the final chunk or, if {@link ClientLimits#allowCloseDelimited} allows it, the
     * closing of the connection by the server.
     */
    void onEnd();

    /** Receives a failure of the call, including a response that ended early. */
    void onFailure(TargetFailure failure);
}
