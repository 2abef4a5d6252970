package org.boragebarrow.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.netty.channel.socket.nio.NioSocketChannel;

/** A connection whose received bytes can be looked for at once, without waiting for the event loop to read them. */
final class ClientSocketChannel extends NioSocketChannel {
    /**
     * Reads bytes that have been received and not been read, which are lost to the handlers; called on the event loop.
     *
     * @return the number of bytes, or -1 if the peer has closed the connection
     */
    int readReceived(ByteBuffer buffer) throws IOException {
        return javaChannel().read(buffer);
    }
}
