package org.boragebarrow.http.client;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.port.TargetFailure;

/**
 * Receives an answer as it comes.
 *
 * <p>Called on the connection's event loop; after the end, a failure or the closing of the handle no more. A call whose listener throws
 * fails as broken.
 */
public interface StreamListener {
    /** Receives the status and headers. */
    void onHead(int status, ImmutableListMultimap<String, String> headers);

    /** Receives a part of the body, which is valid during the call only. */
    void onBody(ByteBuf part);

    /** Receives the end of an answer that came whole: its length or its final chunk agreed. */
    void onEnd();

    /** Receives the failure of the connection, also when the answer ended short. */
    void onFailure(TargetFailure failure);
}
