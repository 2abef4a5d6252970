package org.boragebarrow.http.server;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class ChannelResponseTest {
    private static final int BLOCK_BYTES = 64 << 10;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ChannelResponse response =
            new ChannelResponse(channel, true, () -> true, (succeeded, keepAlive) -> {});
    private final List<Boolean> writable = new ArrayList<>();

    ChannelResponseTest() {
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(BLOCK_BYTES / 4, BLOCK_BYTES / 2));
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ignored) {
                response.writabilityChanged();
            }
        });
        response.onWritabilityChanged(() -> writable.add(response.isWritable()));
        response.start(200, ImmutableListMultimap.of());
    }

    /** Guards against streams that stop for good after a large event, as nothing says that more may be written. */
    @Example
    void aResponseSaysThatItIsWritableOnceAllPartsAreWritten() {
        response.write(ImmutableList.of(ByteBuffer.allocate(BLOCK_BYTES), ByteBuffer.allocate(1)), written -> {});

        assertThat(response.isWritable()).isTrue();
        assertThat(writable.get(writable.size() - 1)).isTrue();
    }

    @Example
    void partsAreWrittenInOrderAndBeforeTheEnd() {
        List<Integer> written = new ArrayList<>();
        response.write(ImmutableList.of(ByteBuffer.allocate(BLOCK_BYTES), ByteBuffer.allocate(2)), written::add);
        response.write(ByteBuffer.allocate(3));
        response.end();

        assertThat(written).containsExactly(BLOCK_BYTES, 2).inOrder();
        assertThat(response.isOpen()).isFalse();
    }
}
