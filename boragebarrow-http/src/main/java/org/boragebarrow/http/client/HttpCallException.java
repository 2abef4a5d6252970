package org.boragebarrow.http.client;

import static com.google.common.base.Preconditions.checkNotNull;

/** Reports that a call got no whole answer. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    public HttpCallException(boolean sent, String message) {
        super(checkNotNull(message), null, false, false);
        this.sent = sent;
    }

    /** Returns whether any byte of the request may have been handed to the connection. */
    public boolean sent() {
        return sent;
    }
}
