package org.boragebarrow.http.server;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class BodyPartsTest {
    @Example
    void aBodyOfManyTinyPartsHoldsFewBlocks() {
        BodyParts parts = new BodyParts();
        for (int part = 0; part < 1 << 20; part++) {
            parts.add(Unpooled.wrappedBuffer(new byte[] {(byte) part}));
        }
        ImmutableList<ByteBuffer> blocks = parts.whole();
        assertThat(blocks.size()).isLessThan(32);
        assertThat(blocks.stream().mapToInt(ByteBuffer::remaining).sum()).isEqualTo(1 << 20);
    }

    @Example
    void theBytesKeepTheirOrderOverBlocks() {
        BodyParts parts = new BodyParts();
        for (int part = 0; part < 5_000; part++) {
            parts.add(Unpooled.wrappedBuffer(new byte[] {(byte) part, (byte) (part >> 8)}));
        }
        int at = 0;
        for (ByteBuffer block : parts.whole()) {
            while (block.hasRemaining()) {
                byte expected = at % 2 == 0 ? (byte) (at / 2) : (byte) (at / 2 >> 8);
                assertThat(block.get()).isEqualTo(expected);
                at++;
            }
        }
        assertThat(at).isEqualTo(10_000);
    }
}
