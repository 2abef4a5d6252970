package org.boragebarrow.peer.link;

import java.nio.ByteOrder;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/** Splits the input of a link into messages. Those of the handshake are short, until its end allows long ones. */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {
    static final int MAX_HANDSHAKE_BYTES = 4 << 10;
    static final int MAX_MESSAGE_BYTES = 4 << 20;
    static final int LENGTH_BYTES = 4;

    private int maxBytes = MAX_HANDSHAKE_BYTES;

    PeerFrameDecoder() {
        super(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Allows long messages, once the peer has proved its identity. */
    void allowLongMessages() {
        maxBytes = MAX_MESSAGE_BYTES;
    }

    @Override
    protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
        long bytes = super.getUnadjustedFrameLength(buffer, offset, length, order);
        if (bytes > maxBytes) {
            throw new TooLongFrameException("a message of " + bytes + " bytes is longer than " + maxBytes);
        }
        return bytes;
    }
}
