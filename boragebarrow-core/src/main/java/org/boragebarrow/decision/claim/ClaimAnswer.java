package org.boragebarrow.decision.claim;

import java.util.Base64;

import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The answer of a completed call, stored so that it can be replayed to later requests with the same key. */
public record ClaimAnswer(int status, ImmutableListMultimap<String, String> headers, Body body) {
    /** The maximum size in bytes of a body in the table row; a larger body is stored in the object store. */
    public static final int MAX_INLINE_BYTES = 16 * 1024;

    public ClaimAnswer {
        checkArgument(status >= 100 && status <= 599, "not an HTTP status: %s", status);
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** The location of the body. */
    public sealed interface Body {}

    /** A body that is stored in the table row. */
    public record Inline(String base64) implements Body {
        /** Returns an inline body with the given content, of at most {@link #MAX_INLINE_BYTES} bytes. */
        public static Inline of(byte[] bytes) {
            checkArgument(bytes.length <= MAX_INLINE_BYTES, "body too large for a table row: %s bytes", bytes.length);
            return new Inline(Base64.getEncoder().encodeToString(bytes));
        }

        /** Returns the decoded content. */
        public byte[] bytes() {
            return Base64.getDecoder().decode(base64);
        }
    }

    /** A body in the object store, which is written before the claim that refers to it. */
    public record Stored(String objectKey) implements Body {
        public Stored {
            checkNotNull(objectKey);
        }
    }
}
