package org.boragebarrow.standins.web;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

/** An HTTP/1.1 server for stand-ins that reads complete requests and passes them to a {@link WebHandler}. */
public final class WebServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int BACKLOG_CONNECTIONS = 1_024;

    private final Channel listener;
    private final ChannelGroup connections;

    private WebServer(Channel listener, ChannelGroup connections) {
        this.listener = listener;
        this.connections = connections;
    }

    /** Starts a server that listens on the endpoint; port 0 selects any free port. */
    public static WebServer start(EventLoopGroup group, Endpoint endpoint, WebHandler handler) {
        checkNotNull(group);
        checkNotNull(handler);
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
        Channel listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(connections, handler))
                .bind(new InetSocketAddress(endpoint.address(), endpoint.port()))
                .syncUninterruptibly()
                .channel();
        return new WebServer(listener, connections);
    }

    private static final class Initializer extends ChannelInitializer<Channel> {
        private final ChannelGroup connections;
        private final WebHandler handler;

        Initializer(ChannelGroup connections, WebHandler handler) {
            this.connections = connections;
            this.handler = handler;
        }

        @Override
        protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new WebConnection(handler));
        }
    }

    /** Returns the endpoint on which the server listens, with the port that was actually bound. */
    public Endpoint endpoint() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return Endpoint.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
