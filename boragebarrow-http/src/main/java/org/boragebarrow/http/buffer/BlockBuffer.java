package org.boragebarrow.http.buffer;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;

/**
 * Copies the received parts of one body, or of another sequence of bytes, into blocks. Not thread-safe.
 *
 * <p>Copying keeps the memory in proportion to the size of the body. A view of each part would retain the network
 * buffer that it was received in, so that a body of many tiny parts could retain many times its size.
 */
public final class BlockBuffer {
    private static final int MIN_BLOCK_BYTES = 1 << 10;
    private static final int MAX_BLOCK_BYTES = 64 << 10;

    private final ImmutableList.Builder<ByteBuffer> finishedBlocks = ImmutableList.builder();

    private final int expectedSize;
    private ByteBuffer block = ByteBuffer.allocate(0);
    private int size;
    private int allocatedBytes;

    private BlockBuffer(int expectedSize) {
        this.expectedSize = expectedSize;
    }

    /** Returns a buffer for a body whose length is known; its blocks have exactly this length together. */
    public static BlockBuffer ofSize(int expectedSize) {
        return new BlockBuffer(expectedSize);
    }

    /** Returns a buffer for a body of unknown length. */
    public static BlockBuffer ofUnknownSize() {
        return new BlockBuffer(Integer.MAX_VALUE);
    }

    /** Returns the number of bytes that were added. */
    public int size() {
        return size;
    }

    /** Returns the number of bytes that the blocks have room for together. */
    public int allocatedBytes() {
        return allocatedBytes;
    }

    /** Returns by how much the blocks grow together if so many bytes are added. */
    public int growthFor(int added) {
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

    /** Copies the readable bytes, and marks them as read. */
    public void add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (!block.hasRemaining()) {
                finishBlock();
                block = ByteBuffer.allocate(blockBytes(bytes.readableBytes(), size));
                allocatedBytes += block.capacity();
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

    /** Returns the blocks, which are read-only; nothing may be added afterwards. */
    public ImmutableList<ByteBuffer> toBlocks() {
        finishBlock();
        return finishedBlocks.build();
    }
}
