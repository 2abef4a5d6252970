package org.boragebarrow.node.front;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkState;

/** A complete response of a plain service. */
record ServiceAnswer(int status, ImmutableListMultimap<String, String> headers, byte[] body) {
    /** Maximum size of the body, in bytes. */
    static final int MAX_BYTES = 16 << 20;

    /** Collects a response as it is received. */
    static final class Builder {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private int status;
        private ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of();

        void setHead(int receivedStatus, ImmutableListMultimap<String, String> receivedHeaders) {
            status = receivedStatus;
            headers = receivedHeaders;
        }

        /**
         * Appends a part of the body; returns false without appending it if the body would exceed {@link #MAX_BYTES}.
         */
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
            checkState(status != 0, "no response head was received");
            return new ServiceAnswer(status, headers, body.toByteArray());
        }
    }
}
