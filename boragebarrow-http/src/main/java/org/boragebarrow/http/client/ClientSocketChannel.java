package org.boragebarrow.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

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

    /**
     * Returns whether an error is known to be pending, such as a reset behind the end of the input. Called on the event loop.
     *
     * <p>Reading does not tell, as it returns the end of the input also after such a reset.
     */
    boolean hasPendingError() {
        try (Selector selector = javaChannel().provider().openSelector()) {
            // A channel that is connected is ready to connect only if an error is pending.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            // No selector can be opened while the process has no file descriptor left.
            return false;
        }
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
