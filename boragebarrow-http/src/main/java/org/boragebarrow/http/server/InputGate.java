package org.boragebarrow.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes the bytes of one request at a time to the decoder. Those behind it are kept undecoded, as a decoded head is many
 * times as large, and the connection is no longer read when there are many of them.
 */
final class InputGate extends ChannelInboundHandlerAdapter {
    /** The kept bytes at which the connection is no longer read. */
    private static final int MAX_KEPT_BYTES = 16 << 10;

    /** The kept bytes of an ordinary caller that sends a request early, which are not accounted for. */
    private static final int UNCOUNTED_KEPT_BYTES = 2 << 10;

    /** The maximum bytes of a head, or of a body of unknown length, that are decoded before the state is checked again. */
    private static final int MAX_SLICE_BYTES = 1 << 10;

    /** A decoded byte occupies this many, in its string and in copies of it. */
    private static final int BYTES_PER_HEAD_BYTE = 3;

    /** The objects of a header, or of an entry of a list in one: names, values and entries of the maps that hold them. */
    private static final int BYTES_PER_FIELD = 400;

    /** The state of the connection, as far as it determines how much is decoded. */
    interface Connection {
        /** Returns whether what follows has to wait for a response. */
        boolean isBusy();

        /** Returns how many bytes of a body follow, 0 if a head follows, or -1 if the length of the body is unknown. */
        long remainingBodyBytes();

        /** Accounts for a part of a head; returns false if the request was refused. */
        boolean holdHead(long bytes);

        /** Accounts for kept bytes; returns false if there is no room. */
        boolean holdKept(long bytes);

        void releaseKept(long bytes);
    }

    private final Connection connection;
    private ChannelHandlerContext context;
    private ByteBuf kept = Unpooled.EMPTY_BUFFER;
    private long heldBytes;
    private boolean afterLineEnd;
    private boolean passing;

    InputGate(Connection connection) {
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (kept.isReadable() || passing) {
            keep(bytes);
            resume();
            return;
        }
        try {
            pass(bytes);
            if (bytes.isReadable()) {
                keep(bytes.retain());
            }
        } finally {
            bytes.release();
        }
    }

    /** Passes on what was kept, as far as the connection is not busy. */
    void resume() {
        if (passing) {
            return;
        }
        pass(kept);
        if (!kept.isReadable()) {
            discard();
        }
        context.channel().config().setAutoRead(kept.readableBytes() < MAX_KEPT_BYTES);
    }

    private void pass(ByteBuf bytes) {
        passing = true;
        while (bytes.isReadable() && !connection.isBusy()) {
            long body = connection.remainingBodyBytes();
            int length = body > 0
                    ? (int) Math.min(body, bytes.readableBytes())
                    : Math.min(MAX_SLICE_BYTES, bytes.readableBytes());
            if (body == 0) {
                length = measureHead(bytes, length);
            }
            context.fireChannelRead(bytes.readRetainedSlice(length));
        }
        passing = false;
    }

    /** Returns how many of the bytes belong to the head, and accounts for them. */
    private int measureHead(ByteBuf bytes, int limit) {
        int start = bytes.readerIndex();
        int length = 0;
        int fields = 0;
        boolean ended = false;
        while (length < limit && !ended) {
            byte next = bytes.getByte(start + length);
            length++;
            if (next == '\n') {
                ended = afterLineEnd;
                afterLineEnd = true;
                fields++;
            } else if (next != '\r') {
                afterLineEnd = false;
                fields += next == ',' ? 1 : 0;
            }
        }
        afterLineEnd &= !ended;
        connection.holdHead((long) length * BYTES_PER_HEAD_BYTE + (long) fields * BYTES_PER_FIELD);
        return length;
    }

    /** Copies the bytes, so that they do not retain the buffer that they were received in. */
    private void keep(ByteBuf bytes) {
        ByteBuf joined = Unpooled.buffer(kept.readableBytes() + bytes.readableBytes());
        joined.writeBytes(kept).writeBytes(bytes);
        bytes.release();
        kept = joined;
        long held = joined.capacity() > UNCOUNTED_KEPT_BYTES ? joined.capacity() : 0;
        connection.releaseKept(heldBytes);
        heldBytes = 0;
        if (!connection.holdKept(held)) {
            discard();
            context.close();
            return;
        }
        heldBytes = held;
        if (joined.readableBytes() >= MAX_KEPT_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Discards what was kept. */
    void discard() {
        connection.releaseKept(heldBytes);
        heldBytes = 0;
        kept = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        discard();
        context.fireChannelInactive();
    }
}
