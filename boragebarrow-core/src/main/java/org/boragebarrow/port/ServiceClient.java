package org.boragebarrow.port;

import java.nio.ByteBuffer;
import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.Target;

/** Calls plain services. */
public interface ServiceClient {
    /** Sends the call. The listener is called by one thread at a time, and not after the end or a failure. */
    EngineClient.CallHandle call(Target service, Call call, Listener listener);

    /** An HTTP call, without hop-by-hop headers. */
    record Call(
            RequestId request,
            AttemptId attempt,
            String method,
            String path,
            ImmutableListMultimap<String, String> headers,
            ImmutableList<ByteBuffer> body,
            Duration remaining) {}

    /** Receives a response. */
    interface Listener {
        /** Receives the status and headers. */
        void onHead(int status, ImmutableListMultimap<String, String> headers);

        /** Receives a part of the body. The listener may retain the buffer. */
        void onBody(ByteBuffer part);

        /** Receives the end of a complete response, as confirmed by its content length or final chunk. */
        void onEnd();

        /** Called when the connection fails or the response is incomplete. */
        void onFailure(TargetFailure failure);
    }
}
