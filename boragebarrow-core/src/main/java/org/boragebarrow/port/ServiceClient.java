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
    /** Sends the call; the listener is called from one thread at a time, and after the end or a failure no more. */
    EngineClient.Handle call(Target service, Call call, Listener listener);

    /** One call; the headers exclude those that belong to a single connection. */
    record Call(
            RequestId request,
            AttemptId attempt,
            String method,
            String path,
            ImmutableListMultimap<String, String> headers,
            ImmutableList<ByteBuffer> body,
            Duration remaining) {}

    /** Receives an answer. */
    interface Listener {
        /** Receives the status and headers. */
        void onHead(int status, ImmutableListMultimap<String, String> headers);

        /** Receives a part of the body; the buffer is the listener's to keep. */
        void onBody(ByteBuffer part);

        /** Receives the end of an answer that came whole: its length or its final chunk agreed. */
        void onEnd();

        /** Receives the failure of the connection, also when the answer ended short. */
        void onFailure(TargetFailure failure);
    }
}
