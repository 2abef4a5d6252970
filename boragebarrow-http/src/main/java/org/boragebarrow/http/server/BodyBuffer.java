package org.boragebarrow.http.server;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;

/**
 * Copies the received parts of one body into blocks.
 *
 * <p>Copying keeps the memory in proportion to the size of the body. A view of each part would retain the network
 * buffer that it was received in, so that a body of many tiny parts could retain many times its size.
 */
final class BodyBuffer {
    private static final int MIN_BLOCK_BYTES = 1 << 10;
    private static final int MAX_BLOCK_BYTES = 64 << 10;

    private final ImmutableList.Builder<ByteBuffer> finishedBlocks = ImmutableList.builder();

    private ByteBuffer block = ByteBuffer.allocate(0);
    private int size;

    int size() {
        return size;
    }

    void add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (!block.hasRemaining()) {
                finishBlock();
                block = ByteBuffer.allocate(nextBlockBytes(bytes.readableBytes()));
            }
            int copied = Math.min(block.remaining(), bytes.readableBytes());
            bytes.readBytes(block.array(), block.position(), copied);
            block.position(block.position() + copied);
            size += copied;
        }
    }

    private int nextBlockBytes(int required) {
        return Math.clamp(Math.max(required, size), MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
    }

    private void finishBlock() {
        if (block.position() > 0) {
            finishedBlocks.add(block.flip().asReadOnlyBuffer());
        }
    }

    ImmutableList<ByteBuffer> toBlocks() {
        finishBlock();
        return finishedBlocks.build();
    }
}
