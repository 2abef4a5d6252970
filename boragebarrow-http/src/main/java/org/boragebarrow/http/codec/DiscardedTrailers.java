package org.boragebarrow.http.codec;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Discards the fields of trailers while they are decoded.
 *
 * <p>Trailers are not forwarded, and a decoded field is some hundred times as large as the shortest one on the wire.
 */
public enum DiscardedTrailers implements HttpHeadersFactory {
    /** The only instance. */
    INSTANCE;

    @Override
    public HttpHeaders newHeaders() {
        return new DiscardingHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new DiscardingHeaders();
    }

    private static final class DiscardingHeaders extends DefaultHttpHeaders {
        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            return this;
        }
    }
}
