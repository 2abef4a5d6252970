package org.boragebarrow.http.buffer;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class BlockBufferTest {
    @Example
    void manyTinyPartsAreStoredInFewBlocks() {
        BlockBuffer body = BlockBuffer.ofUnknownSize();
        for (int part = 0; part < 1 << 20; part++) {
            body.add(Unpooled.wrappedBuffer(new byte[] {(byte) part}));
        }
        ImmutableList<ByteBuffer> blocks = body.toBlocks();
        assertThat(blocks.size()).isLessThan(32);
        assertThat(blocks.stream().mapToInt(ByteBuffer::remaining).sum()).isEqualTo(1 << 20);
    }

    @Example
    void bytesKeepTheirOrderAcrossBlocks() {
        BlockBuffer body = BlockBuffer.ofUnknownSize();
        for (int part = 0; part < 5_000; part++) {
            body.add(Unpooled.wrappedBuffer(new byte[] {(byte) part, (byte) (part >> 8)}));
        }
        int position = 0;
        for (ByteBuffer block : body.toBlocks()) {
            while (block.hasRemaining()) {
                byte expected = position % 2 == 0 ? (byte) (position / 2) : (byte) (position / 2 >> 8);
                assertThat(block.get()).isEqualTo(expected);
                position++;
            }
        }
        assertThat(position).isEqualTo(10_000);
    }
}
