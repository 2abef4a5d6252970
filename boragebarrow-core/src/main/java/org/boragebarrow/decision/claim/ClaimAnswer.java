package org.boragebarrow.decision.claim;

import java.util.Base64;

import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The answer of a finished call, kept for repeats of its key. */
public record ClaimAnswer(int status, ImmutableListMultimap<String, String> headers, Body body) {
    /** The longest body that is kept in the table row, in bytes; a longer one goes to the object store. */
    public static final int MAX_INLINE_BYTES = 16 * 1024;

    public ClaimAnswer {
        checkArgument(status >= 100 && status <= 599, "not an HTTP status: %s", status);
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** Where the body is. */
    public sealed interface Body {}

    /** A body in the table row itself. */
    public record Inline(String base64) implements Body {
        /** Returns the body with the given bytes. */
        public static Inline of(byte[] bytes) {
            checkArgument(bytes.length <= MAX_INLINE_BYTES, "too long for a row: %s bytes", bytes.length);
            return new Inline(Base64.getEncoder().encodeToString(bytes));
        }

        /** Returns the bytes. */
        public byte[] bytes() {
            return Base64.getDecoder().decode(base64);
        }
    }

    /** A body in the object store, written before the claim points to it. */
    public record Stored(String objectKey) implements Body {
        public Stored {
            checkNotNull(objectKey);
        }
    }
}
