package org.boragebarrow.http.client;

import java.nio.ByteBuffer;
import java.util.Iterator;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes a request body in pieces, and only while the channel is writable, to bound what the channel buffers. */
final class BodyWriter {
    private static final int PIECE_BYTES = 32 << 10;

    private final Channel channel;
    private final Iterator<ByteBuffer> parts;
    private final ChannelFutureListener onWritten;
    private ByteBuffer part = ByteBuffer.allocate(0);
    private boolean writing;
    private boolean finished;

    BodyWriter(Channel channel, ImmutableList<ByteBuffer> body, ChannelFutureListener onWritten) {
        this.channel = channel;
        this.parts = body.iterator();
        this.onWritten = onWritten;
    }

    boolean isFinished() {
        return finished;
    }

    void writeMore() {
        // A flush can call this method again, from channelWritabilityChanged, before it returns.
        if (writing) {
            return;
        }
        writing = true;
        while (!finished && channel.isWritable()) {
            writePiece();
            if (finished || !channel.isWritable()) {
                channel.flush();
            }
        }
        writing = false;
    }

    private void writePiece() {
        while (!part.hasRemaining() && parts.hasNext()) {
            part = parts.next().duplicate();
        }
        if (!part.hasRemaining()) {
            finished = true;
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT).addListener(onWritten);
            return;
        }
        int length = Math.min(part.remaining(), PIECE_BYTES);
        ByteBuffer piece = part.slice(part.position(), length);
        part.position(part.position() + length);
        channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
    }
}
