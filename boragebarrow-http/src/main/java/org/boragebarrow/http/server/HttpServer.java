package org.boragebarrow.http.server;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
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
import org.boragebarrow.http.codec.DiscardedTrailers;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

/** An HTTP/1.1 server that listens on one port. Thread-safe. */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int BACKLOG = 1_024;
    private static final WriteBufferWaterMark RESPONSE_BUFFER_WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);

    /** Otherwise a caller that does not read has its socket buffer filled with megabytes first. */
    private static final int SOCKET_BUFFER_BYTES = 64 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;

    /** Bounds what is received beyond the end of a request while its response is in progress. */
    private static final int MAX_READ_BYTES = 16 << 10;

    /** The maximum number of reads of one connection before other connections are read. */
    private static final int MAX_READS_PER_LOOP = 4;

    private final Supplier<ServerLimits> limits;
    private final ServerHandler handler;
    private final MemoryAccount memory;
    private final ConnectionTable connections;
    private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Channel channel;

    private volatile boolean draining;
    private volatile Optional<ShutdownEvent> shutdownEvent = Optional.empty();

    private HttpServer(
            EventLoopGroup group,
            Endpoint endpoint,
            Supplier<ServerLimits> limits,
            MemoryAccount memory,
            ConnectionTable connections,
            ServerHandler handler) {
        this.limits = limits;
        this.connections = connections;
        this.handler = handler;
        this.memory = memory;
        this.channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SOCKET_BUFFER_BYTES)
                .childOption(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, RESPONSE_BUFFER_WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, createReceiveAllocator())
                .childHandler(new ConnectionInitializer())
                .bind(new InetSocketAddress(endpoint.address(), endpoint.port()))
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns an allocator with which a connection is read until no input is left, so that the end of the input is
     * detected together with the request before it. By default it would be detected one iteration of the event loop
     * later, when the request may already have been relayed.
     */
    private static RecvByteBufAllocator createReceiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_LOOP);
    }

    /**
     * Starts listening.
     *
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group, Endpoint endpoint, ServerLimits limits, ServerHandler handler) {
        checkNotNull(limits);
        return start(group, endpoint, () -> limits, MemoryAccount.of(limits.maxBufferedBytes()), handler);
    }

    /**
     * Starts listening with limits that may change, and an account that other servers may share. A body is bound by the limit that
     * applies when its head has been received; the other limits of a connection are those that applied when it was accepted, and it is
     * closed after its next response once they have changed. {@link ServerLimits#maxBufferedBytes} has no effect.
     *
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group,
            Endpoint endpoint,
            Supplier<ServerLimits> limits,
            MemoryAccount memory,
            ServerHandler handler) {
        return new HttpServer(
                checkNotNull(group),
                checkNotNull(endpoint),
                checkNotNull(limits),
                checkNotNull(memory),
                ConnectionTable.keepingIdle(),
                checkNotNull(handler));
    }

    /**
     * Starts listening for few callers of which each may come back at any time, such as operators: at the bound, a new
     * connection takes the place of the one that has been idle longest.
     *
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static HttpServer startReplacingIdle(
            EventLoopGroup group, Endpoint endpoint, ServerLimits limits, ServerHandler handler) {
        checkNotNull(limits);
        MemoryAccount memory = MemoryAccount.of(limits.maxBufferedBytes());
        return new HttpServer(
                checkNotNull(group),
                checkNotNull(endpoint),
                () -> limits,
                memory,
                ConnectionTable.replacingIdle(),
                checkNotNull(handler));
    }

    /**
     * Closes each connection after its current response, or after its next one if it is idle. New connections are still
     * accepted.
     */
    public void drain() {
        draining = true;
    }

    /** Returns the endpoint that the server listens on, with the port that was bound if port 0 was requested. */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) channel.localAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /** Returns the number of open connections. */
    public int connections() {
        return openChannels.size();
    }

    /** Returns whether a new connection would be accepted. */
    public boolean hasRoom() {
        return connections.hasRoom(limits.get().maxConnections());
    }

    /** Returns the bytes that the requests of this server, and of others with the same account, hold now. */
    public long bufferedBytes() {
        return memory.heldBytes();
    }

    /** Returns the number of connections that were closed because others needed their places. */
    public long evictedConnections() {
        return connections.evictions();
    }

    /**
     * Refuses requests whose body is not received completely, now and from now on, so that their callers can read the
     * response and use another host. Complete requests still reach the handler.
     */
    public void refuseIncomplete() {
        fireToConnections(ShutdownEvent.REFUSE_INCOMPLETE);
    }

    private void fireToConnections(ShutdownEvent event) {
        shutdownEvent = Optional.of(event);
        for (Channel connection : openChannels) {
            connection.eventLoop().execute(() -> connection.pipeline().fireUserEventTriggered(event));
        }
    }

    /**
     * Stops accepting connections, and closes the open ones as soon as their responses are written; closes all that are
     * left after the timeout. Must not be called on an event loop.
     */
    public void closeGracefully(Duration timeout) {
        close();
        fireToConnections(ShutdownEvent.CLOSE_WHEN_WRITTEN);
        openChannels.newCloseFuture().awaitUninterruptibly(Math.max(0, timeout.toMillis()));
        openChannels.close().awaitUninterruptibly();
    }

    /** Stops accepting connections and closes all open ones, including those with requests in progress. */
    public void closeNow() {
        close();
        openChannels.close().awaitUninterruptibly();
    }

    /** Stops accepting connections; open connections stay open. */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel connection) {
            ServerLimits currentLimits = limits.get();
            if (!connections.add(connection, currentLimits.maxConnections())) {
                connection.close();
                return;
            }
            openChannels.add(connection);
            HttpDecoderConfig config = new HttpDecoderConfig()
                    .setMaxInitialLineLength(currentLimits.maxHeaderBytes())
                    .setMaxHeaderSize(currentLimits.maxHeaderBytes())
                    .setMaxChunkSize(MAX_CHUNK_BYTES)
                    .setTrailersFactory(DiscardedTrailers.INSTANCE)
                    .setUseRfc9112TransferEncoding(true);
            ReceiveTimeoutHandler receiveTimeout = new ReceiveTimeoutHandler(currentLimits);
            ConnectionHandler connectionHandler =
                    new ConnectionHandler(limits, handler, connections, memory, receiveTimeout, () -> draining);
            connection
                    .pipeline()
                    .addLast(new IdleStateHandler(currentLimits.idleTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
                    .addLast(new WriteStallTimeoutHandler(currentLimits))
                    .addLast(receiveTimeout)
                    .addLast(connectionHandler.gate())
                    .addLast(new HttpServerCodec(config))
                    .addLast(connectionHandler);
            shutdownEvent.ifPresent(event -> connection.pipeline().fireUserEventTriggered(event));
        }
    }
}
