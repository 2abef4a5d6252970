package org.boragebarrow.peer.link;

import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.peer.proto.Challenge;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Hello;
import org.boragebarrow.peer.proto.Welcome;

/** The accepting side of a link: authenticates the connecting host, then passes its messages to the listener. */
final class AcceptHandler extends SimpleChannelInboundHandler<Envelope> {
    static final String HELLO_PURPOSE = "hello";
    static final String WELCOME_PURPOSE = "welcome";

    private final PeerIdentity self;
    private final PeerKey key;
    private final PeerListener listener;
    private final Consumer<Channel> authenticated;
    private final byte[] challenge = PeerKey.newNonce();

    private HostIncarnation peer;

    /**
     * Creates a handler of one connection.
     *
     * @param authenticated is told when the connecting host has proved its identity
     */
    AcceptHandler(PeerIdentity self, PeerKey key, PeerListener listener, Consumer<Channel> authenticated) {
        this.self = self;
        this.key = key;
        this.listener = listener;
        this.authenticated = authenticated;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Challenge message =
                Challenge.newBuilder().setNonce(ByteString.copyFrom(challenge)).build();
        context.writeAndFlush(Envelope.newBuilder().setChallenge(message).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        if (peer != null) {
            listener.onMessage(peer, message);
            return;
        }
        if (!message.hasHello()) {
            reject(context, "the first message was not a hello");
            return;
        }
        authenticate(context, message.getHello());
    }

    private void authenticate(ChannelHandlerContext context, Hello hello) {
        PeerIdentity identity;
        try {
            HostIncarnation incarnation =
                    HostIncarnation.of(HostId.of(hello.getHost()), IncarnationNumber.of(hello.getIncarnation()));
            identity = new PeerIdentity(incarnation, AvailabilityZoneId.of(hello.getZone()));
        } catch (IllegalArgumentException e) {
            reject(context, e.getMessage());
            return;
        }
        byte[] nonce = hello.getNonce().toByteArray();
        if (!key.verify(hello.getMac().toByteArray(), HELLO_PURPOSE, challenge, nonce, identity.signedForm())) {
            reject(context, "wrong peer key from " + context.channel().remoteAddress());
            return;
        }
        PeerPipelines.completeHandshake(context.pipeline());
        authenticated.accept(context.channel());
        peer = identity.incarnation();
        String host = self.incarnation().host().value();
        Welcome welcome = Welcome.newBuilder()
                .setHost(host)
                .setMac(ByteString.copyFrom(key.sign(WELCOME_PURPOSE, challenge, nonce, host)))
                .build();
        context.writeAndFlush(Envelope.newBuilder().setWelcome(welcome).build());
    }

    private void reject(ChannelHandlerContext context, String reason) {
        listener.onRejected(reason);
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reject(context, String.valueOf(cause.getMessage()));
    }
}
