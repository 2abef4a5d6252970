package org.boragebarrow.http.server;

import org.boragebarrow.model.RequestException;

/** Answers requests; called on the connection's event loop and must not block. */
public interface ServerHandler {
    /** Answers a whole request. */
    void onRequest(ServerRequest request, ServerResponse response);

    /** Answers a request that was refused before it was whole; the connection closes after the answer. */
    void onRefused(RequestException refusal, ServerResponse response);
}
