package org.boragebarrow.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection that knows how its input ended, and whose received bytes can be looked for at once, without waiting for the event
 * loop to read them.
 */
final class ClientSocketChannel extends NioSocketChannel {
    private boolean endOfInput;

    /**
     * Returns whether the peer has ended its output and all of it has been read; false after a reset or after a close by this side.
     * Called on the event loop.
     */
    boolean isEndOfInput() {
        return endOfInput;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int bytes = super.doReadBytes(buffer);
        endOfInput |= bytes < 0;
        return bytes;
    }

    /**
     * Reads bytes that have been received and not been read, which are lost to the handlers; called on the event loop.
     *
     * @return the number of bytes, or -1 if the peer has closed the connection
     */
    int readReceived(ByteBuffer buffer) throws IOException {
        return javaChannel().read(buffer);
    }
}
