package org.boragebarrow.http.server;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

/** Listens on one port. Thread-safe. */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int BACKLOG = 1_024;
    private static final WriteBufferWaterMark ANSWER_BUFFER_BYTES = new WriteBufferWaterMark(32 << 10, 128 << 10);

    /** Reads of one connection before others have their turn; the library's own figure for sockets. */
    private static final int MAX_READS = 16;

    private final Supplier<ServerLimits> limits;
    private final ServerHandler handler;
    private final BodyBudget budget;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Channel channel;

    private volatile boolean draining;

    private HttpServer(EventLoopGroup group, Endpoint endpoint, Supplier<ServerLimits> limits, ServerHandler handler) {
        this.limits = limits;
        this.handler = handler;
        this.budget = new BodyBudget(limits.get().maxBufferedBytes());
        this.channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ANSWER_BUFFER_BYTES)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readToEnd())
                .childHandler(new Initializer())
                .bind(new InetSocketAddress(endpoint.address(), endpoint.port()))
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Reads on until nothing is left, so that a caller's leaving is known together with the request before it. By
     * default it would show one round of the event loop later, when the request may have been passed on.
     */
    private static RecvByteBufAllocator readToEnd() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS);
    }

    /**
     * Starts listening.
     *
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group, Endpoint endpoint, ServerLimits limits, ServerHandler handler) {
        checkNotNull(limits);
        return start(group, endpoint, () -> limits, handler);
    }

    /**
     * Starts listening with limits that may change; each connection keeps those that it was accepted with, but for the
     * bytes of all bodies, which are read once.
     *
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group, Endpoint endpoint, Supplier<ServerLimits> limits, ServerHandler handler) {
        return new HttpServer(checkNotNull(group), checkNotNull(endpoint), checkNotNull(limits), checkNotNull(handler));
    }

    /** Ends each connection after the answer that it is waiting for, or after its next one; new ones are accepted. */
    public void drain() {
        draining = true;
    }

    /** Returns where the server listens; tells the real port when port 0 was asked for. */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) channel.localAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /** Returns the number of open connections. */
    public int connections() {
        return accepted.size();
    }

    /** Returns the bytes of all request bodies that are held now. */
    public long bufferedBytes() {
        return budget.held();
    }

    /** Stops accepting connections and closes all that are open, whatever they carry. */
    public void closeNow() {
        close();
        accepted.close().awaitUninterruptibly();
    }

    /** Stops accepting connections; those that are open carry on. */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel connection) {
            ServerLimits present = limits.get();
            if (accepted.size() >= present.maxConnections()) {
                connection.close();
                return;
            }
            accepted.add(connection);
            HttpDecoderConfig config = new HttpDecoderConfig()
                    .setMaxInitialLineLength(present.maxHeaderBytes())
                    .setMaxHeaderSize(present.maxHeaderBytes())
                    .setMaxChunkSize(MAX_CHUNK_BYTES)
                    .setUseRfc9112TransferEncoding(true);
            ReceiveClock clock = new ReceiveClock(present);
            connection
                    .pipeline()
                    .addLast(new IdleStateHandler(present.idle().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
                    .addLast(new StalledReaderGuard(present))
                    .addLast(clock)
                    .addLast(new HttpServerCodec(config))
                    .addLast(new ConnectionHandler(present, handler, budget, clock, () -> draining));
        }
    }
}
