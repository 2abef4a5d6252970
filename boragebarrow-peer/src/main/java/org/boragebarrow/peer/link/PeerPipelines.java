package org.boragebarrow.peer.link;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.boragebarrow.peer.proto.Envelope;

/** Adds to the pipeline of a connection the handlers that both sides of a link use. */
final class PeerPipelines {
    static final String HANDSHAKE_TIMEOUT = "handshake-timeout";

    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final int LENGTH_BYTES = 4;

    private PeerPipelines() {}

    static void install(ChannelPipeline pipeline, PeerTraffic traffic) {
        pipeline.addLast(traffic);
        pipeline.addLast(HANDSHAKE_TIMEOUT, new HandshakeTimeout());
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
