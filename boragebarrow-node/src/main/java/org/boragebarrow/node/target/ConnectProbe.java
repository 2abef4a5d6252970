package org.boragebarrow.node.target;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

/** Checks whether a plain service accepts connections; sends no data, so that no call can run. Thread-safe. */
public final class ConnectProbe {
    private static final int TIMEOUT_MILLIS = 1_000;

    private final Bootstrap bootstrap;

    /** Creates a probe that connects on the given event loops. */
    public ConnectProbe(EventLoopGroup loops) {
        this.bootstrap = new Bootstrap()
                .group(checkNotNull(loops))
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                .handler(new NoOpHandler());
    }

    /** Ignores unsolicited data from a service; shared by all probes. */
    @ChannelHandler.Sharable
    private static final class NoOpHandler extends ChannelInboundHandlerAdapter {}

    /** Connects and closes at once; the future fails if the connection is refused or times out. */
    public CompletableFuture<Void> probe(Endpoint endpoint) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(endpoint.address(), endpoint.port()));
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connecting.channel().close();
                result.complete(null);
            } else {
                result.completeExceptionally(done.cause());
            }
        });
        return result;
    }
}
