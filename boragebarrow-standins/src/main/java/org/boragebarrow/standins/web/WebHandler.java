package org.boragebarrow.standins.web;

/** Handles the requests of a {@link WebServer}. */
@FunctionalInterface
public interface WebHandler {
    /**
     * Handles one request.
     *
     * <p>Called on the connection's event loop and must not block; the response may be completed later and from any
     * thread. An {@link IllegalArgumentException} results in status 400 and any other exception in status 500; if the
     * response has already started, the connection is reset instead.
     */
    void handle(WebRequest request, WebResponse response);
}
