package org.boragebarrow.peer.link;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Hello;
import org.boragebarrow.peer.proto.Welcome;

/** The connecting side of a link: answers the challenge and authenticates the accepting host. */
final class ConnectHandler extends SimpleChannelInboundHandler<Envelope> {
    private final PeerIdentity self;
    private final PeerKey key;
    private final Link link;
    private final PeerListener listener;
    private final byte[] nonce = PeerKey.newNonce();

    private byte[] challenge;

    ConnectHandler(PeerIdentity self, PeerKey key, Link link, PeerListener listener) {
        this.self = self;
        this.key = key;
        this.link = link;
        this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        switch (message.getBodyCase()) {
            case CHALLENGE ->
                answerChallenge(context, message.getChallenge().getNonce().toByteArray());
            case WELCOME -> verifyWelcome(context, message.getWelcome());
            default ->
                reject(
                        context,
                        "unexpected " + message.getBodyCase() + " from "
                                + context.channel().remoteAddress());
        }
    }

    private void answerChallenge(ChannelHandlerContext context, byte[] receivedChallenge) {
        if (challenge != null) {
            reject(context, "second challenge from " + context.channel().remoteAddress());
            return;
        }
        challenge = receivedChallenge;
        Hello hello = Hello.newBuilder()
                .setHost(self.incarnation().host().value())
                .setIncarnation(self.incarnation().number().value())
                .setZone(self.zone().value())
                .setNonce(ByteString.copyFrom(nonce))
                .setMac(ByteString.copyFrom(key.sign(AcceptHandler.HELLO_PURPOSE, challenge, nonce, self.signedForm())))
                .build();
        context.writeAndFlush(Envelope.newBuilder().setHello(hello).build());
    }

    private void verifyWelcome(ChannelHandlerContext context, Welcome welcome) {
        byte[] mac = welcome.getMac().toByteArray();
        boolean verified = challenge != null
                && key.verify(mac, AcceptHandler.WELCOME_PURPOSE, challenge, nonce, welcome.getHost());
        if (!verified) {
            reject(
                    context,
                    "welcome without a valid MAC from " + context.channel().remoteAddress());
            return;
        }
        PeerPipelines.completeHandshake(context.pipeline());
        link.onOpened(context.channel());
    }

    private void reject(ChannelHandlerContext context, String reason) {
        listener.onRejected(reason);
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reject(context, String.valueOf(cause.getMessage()));
    }
}
