package org.boragebarrow.peer.link;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.boragebarrow.peer.proto.Envelope;

/** Adds to the pipeline of a connection the handlers that both sides of a link use. */
final class PeerPipelines {
    static final String HANDSHAKE_TIMEOUT = "handshake-timeout";

    private PeerPipelines() {}

    /** Ends the restrictions of the handshake. */
    static void completeHandshake(ChannelPipeline pipeline) {
        pipeline.remove(HANDSHAKE_TIMEOUT);
        pipeline.get(PeerFrameDecoder.class).allowLongMessages();
    }

    static void install(ChannelPipeline pipeline, PeerTraffic traffic) {
        pipeline.addLast(traffic);
        pipeline.addLast(HANDSHAKE_TIMEOUT, new HandshakeTimeout());
        pipeline.addLast(new PeerFrameDecoder());
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(PeerFrameDecoder.LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
