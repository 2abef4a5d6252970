package org.boragebarrow.http.client;

import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Bytes that a server sent and that belong to no call.
 *
 * @param connection the number of the connection, unique within its client
 * @param uses the number of calls sent on the connection so far
 * @param state what the connection was used for when the bytes arrived
 * @param bytes the number of bytes, as far as they had arrived
 * @param start the first characters, with a dot for each that is not printable
 */
public record UnexpectedBytes(Endpoint endpoint, long connection, int uses, State state, long bytes, String start) {
    /** What the connection was used for. */
    public enum State {
        /** No call was in progress. */
        IDLE,
        /** A response to another call, or its part, arrived during a call. */
        IN_CALL,
        /** The response was joined from two, broken off by another one, or could not be decoded. */
        IN_HEAD
    }

    /** Receives notice of unexpected bytes; called on the event loop of the connection. */
    public interface Listener {
        /** Receives bytes that were discarded. */
        void onUnexpectedBytes(UnexpectedBytes unexpected);
    }

    public UnexpectedBytes {
        checkNotNull(endpoint);
        checkNotNull(state);
        checkNotNull(start);
    }
}
