package org.boragebarrow.standins.web;

/** Answers the requests of a {@link WebServer}. */
@FunctionalInterface
public interface WebHandler {
    /**
     * Handles one request.
     *
     * <p>Called on the connection's event loop and must not block; the response may be completed later and from any
     * thread. An {@link IllegalArgumentException} turns into status 400 and any other exception into status 500.
     */
    void handle(WebRequest request, WebResponse response);
}
