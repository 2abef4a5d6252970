package org.boragebarrow.http.server;

import org.boragebarrow.model.RequestException;

/** Handles requests. The methods are called on the connection's event loop and must not block. */
public interface ServerHandler {
    /** Handles a complete request. */
    void onRequest(ServerRequest request, ServerResponse response);

    /** Responds to a request that was refused before it was complete; the connection is closed after the response. */
    void onRefused(RequestException refusal, ServerResponse response);
}
