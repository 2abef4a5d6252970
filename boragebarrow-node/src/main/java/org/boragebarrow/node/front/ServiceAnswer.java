package org.boragebarrow.node.front;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkState;

/** A whole answer of a plain service. */
record ServiceAnswer(int status, ImmutableListMultimap<String, String> headers, byte[] body) {
    /** The longest answer, in bytes. */
    static final int MAX_BYTES = 16 << 20;

    /** Collects an answer as it arrives. */
    static final class Builder {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private int status;
        private ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of();

        void head(int answeredStatus, ImmutableListMultimap<String, String> answeredHeaders) {
            status = answeredStatus;
            headers = answeredHeaders;
        }

        /** Returns whether the part still fits. */
        boolean add(ByteBuffer part) {
            if (body.size() + part.remaining() > MAX_BYTES) {
                return false;
            }
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            body.writeBytes(bytes);
            return true;
        }

        ServiceAnswer build() {
            checkState(status != 0, "the answer has no head");
            return new ServiceAnswer(status, headers, body.toByteArray());
        }
    }
}
