package org.boragebarrow.http.client;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown when a call did not receive a complete response. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    public HttpCallException(boolean sent, String message) {
        super(checkNotNull(message), null, false, false);
        this.sent = sent;
    }

    /** Returns whether any byte of the request may have been written to the connection. */
    public boolean sent() {
        return sent;
    }
}
