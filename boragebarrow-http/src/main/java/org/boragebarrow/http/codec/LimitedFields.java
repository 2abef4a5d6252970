package org.boragebarrow.http.codec;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Rejects heads of more than a given number of fields while they are decoded; the decoder reports them as malformed.
 *
 * <p>A limit of bytes alone does not bound the memory, as a decoded field is some hundred times as large as the shortest one on
 * the wire.
 */
public final class LimitedFields implements HttpHeadersFactory {
    private final int maxFields;

    private LimitedFields(int maxFields) {
        this.maxFields = maxFields;
    }

    /** Returns a factory with the maximum number of fields, of which one with several values counts as several. */
    public static LimitedFields of(int maxFields) {
        checkArgument(maxFields > 0, "fields must be positive: %s", maxFields);
        return new LimitedFields(maxFields);
    }

    @Override
    public HttpHeaders newHeaders() {
        return new LimitedHeaders(maxFields);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new LimitedHeaders(maxFields);
    }

    private static final class LimitedHeaders extends DefaultHttpHeaders {
        private final int maxFields;

        LimitedHeaders(int maxFields) {
            this.maxFields = maxFields;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            checkArgument(size() < maxFields, "more than %s fields", maxFields);
            return super.add(name, value);
        }
    }
}
