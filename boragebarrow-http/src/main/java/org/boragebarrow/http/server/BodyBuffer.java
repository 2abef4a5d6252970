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

    private final int expectedSize;
    private ByteBuffer block = ByteBuffer.allocate(0);
    private int size;

    private BodyBuffer(int expectedSize) {
        this.expectedSize = expectedSize;
    }

    /** Returns a buffer for a body whose length is known; its blocks have exactly this length together. */
    static BodyBuffer ofSize(int expectedSize) {
        return new BodyBuffer(expectedSize);
    }

    /** Returns a buffer for a body of unknown length. */
    static BodyBuffer ofUnknownSize() {
        return new BodyBuffer(Integer.MAX_VALUE);
    }

    int size() {
        return size;
    }

    /** Returns by how much the blocks grow together if so many bytes are added. */
    int growthFor(int added) {
        int left = added - block.remaining();
        int sizeAtBlock = size + block.remaining();
        int growth = 0;
        while (left > 0) {
            int blockBytes = blockBytes(left, sizeAtBlock);
            growth += blockBytes;
            sizeAtBlock += blockBytes;
            left -= blockBytes;
        }
        return growth;
    }

    void add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (!block.hasRemaining()) {
                finishBlock();
                block = ByteBuffer.allocate(blockBytes(bytes.readableBytes(), size));
            }
            int copied = Math.min(block.remaining(), bytes.readableBytes());
            bytes.readBytes(block.array(), block.position(), copied);
            block.position(block.position() + copied);
            size += copied;
        }
    }

    private int blockBytes(int required, int sizeAtBlock) {
        int bytes = Math.clamp(Math.max(required, sizeAtBlock), MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        return Math.min(bytes, expectedSize - sizeAtBlock);
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
