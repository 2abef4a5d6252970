package org.boragebarrow.http.client;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpDecoderConfig;
import jdk.net.ExtendedSocketOptions;
import org.boragebarrow.http.codec.DiscardedTrailers;
import org.boragebarrow.http.codec.LimitedFields;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.EngineClient;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** An HTTP/1.1 client; thread-safe, and never blocks the calling thread. */
public final class HttpClient implements AutoCloseable {
    /** The maximum size of a collected response, and of the skipped responses to other calls together, in bytes. */
    public static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final int MAX_INITIAL_LINE_BYTES = 4 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_HEADER_FIELDS = 256;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /**
     * The idle time before the first keep-alive probe, and the time between probes, in seconds.
     *
     * <p>With two probes, an unreachable peer is detected in three seconds.
     */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private final EventLoopGroup group;
    private final ClientLimits limits;
    private final IdleConnectionPool pool = new IdleConnectionPool();
    private final AtomicLong connections = new AtomicLong();
    private volatile UnexpectedBytes.Listener unexpectedBytes = unexpected -> {};

    /** Creates a client with the default limits on the given event loops, which it does not shut down. */
    public HttpClient(EventLoopGroup group) {
        this(group, ClientLimits.defaults());
    }

    /** Creates a client on the given event loops, which it does not shut down. */
    public HttpClient(EventLoopGroup group, ClientLimits limits) {
        this.group = checkNotNull(group);
        this.limits = checkNotNull(limits);
    }

    /** Sets what is told of bytes that belong to no call. */
    public void setUnexpectedBytesListener(UnexpectedBytes.Listener listener) {
        unexpectedBytes = checkNotNull(listener);
    }

    /** Sends the call and returns its complete response; the future fails with {@link HttpCallException}. */
    public CompletableFuture<HttpAnswer> exchange(Endpoint endpoint, HttpCall call, Duration timeout) {
        return exchange(endpoint, call, timeout, MAX_ANSWER_BYTES);
    }

    /**
     * Sends the call and returns its complete response; the future fails with {@link HttpCallException}.
     *
     * @param maxAnswerBytes the maximum size of the body, beyond which the call fails
     */
    public CompletableFuture<HttpAnswer> exchange(
            Endpoint endpoint, HttpCall call, Duration timeout, int maxAnswerBytes) {
        checkArgument(!timeout.isNegative(), "negative timeout: %s", timeout);
        ResponseCollector collector = new ResponseCollector(maxAnswerBytes);
        ActiveCall active = startCall(endpoint, call, collector);
        if (!collector.future().isDone()) {
            scheduleTimeout(active, collector, endpoint, timeout);
        }
        return collector.future();
    }

    /** Sends the call and streams its response to the listener. */
    public EngineClient.CallHandle stream(Endpoint endpoint, HttpCall call, StreamListener listener) {
        return startCall(endpoint, call, checkNotNull(listener));
    }

    /**
     * Opens a connection without sending a request, and returns whether the endpoint refused it, as it does while no process
     * listens there. A timeout or an unreachable network is no refusal. An accepted connection is kept for later calls.
     */
    public CompletableFuture<Boolean> refusesConnection(Endpoint endpoint) {
        CompletableFuture<Boolean> refused = new CompletableFuture<>();
        createBootstrap(group.next(), checkNotNull(endpoint))
                .connect(new InetSocketAddress(InetAddresses.forString(endpoint.address()), endpoint.port()))
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        connected.channel().pipeline().get(Connection.class).release(connected.channel());
                    }
                    refused.complete(isRefusal(connected.cause()));
                });
        return refused;
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Closes the idle connections; calls in progress continue. */
    @Override
    public void close() {
        pool.close();
    }

    private ActiveCall startCall(Endpoint endpoint, HttpCall call, StreamListener listener) {
        checkNotNull(endpoint);
        // A late response to a GET before that to a HEAD, or the reverse, would be decoded with a wrong length.
        boolean reuse = call.reuseConnection() && !call.expectsNoBody();
        Optional<Channel> idle = reuse ? pool.acquire(endpoint) : Optional.empty();
        EventLoop loop = idle.isPresent() ? idle.get().eventLoop() : group.next();
        ActiveCall active = new ActiveCall(loop, endpoint, call, listener, limits.allowCloseDelimited());
        try {
            loop.execute(() -> sendOrConnect(active, endpoint, idle));
        } catch (RejectedExecutionException e) {
            active.fail("event loops of the HTTP client are shut down");
        }
        return active;
    }

    private void scheduleTimeout(ActiveCall active, ResponseCollector collector, Endpoint endpoint, Duration timeout) {
        var timer = active.loop()
                .schedule(() -> onTimeout(active, endpoint, timeout), timeout.toMillis(), TimeUnit.MILLISECONDS);
        collector.future().whenComplete((done, failure) -> timer.cancel(false));
    }

    /**
     * Fails the call and closes the idle connections to its endpoint.
     *
     * <p>The cause of the timeout may affect the idle connections as well, and each would cost another timeout.
     */
    private void onTimeout(ActiveCall active, Endpoint endpoint, Duration timeout) {
        pool.closeAll(endpoint);
        active.fail("no response from " + endpoint + " within " + timeout);
    }

    private void sendOrConnect(ActiveCall active, Endpoint endpoint, Optional<Channel> idle) {
        if (idle.isPresent() && prepareReuse(idle.get(), active)) {
            active.start(idle.get());
        } else {
            connect(active, endpoint);
        }
    }

    private static boolean prepareReuse(Channel channel, ActiveCall call) {
        // The handlers of a closed channel are removed.
        return channel.isActive() && channel.pipeline().get(Connection.class).prepareReuse(channel, call);
    }

    private void connect(ActiveCall active, Endpoint endpoint) {
        if (active.isDone()) {
            return;
        }
        createBootstrap(active.loop(), endpoint)
                .connect(new InetSocketAddress(InetAddresses.forString(endpoint.address()), endpoint.port()))
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        active.start(connected.channel());
                    } else {
                        active.fail("cannot connect to " + endpoint + ": " + connected.cause());
                    }
                });
    }

    private Bootstrap createBootstrap(EventLoopGroup loop, Endpoint endpoint) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(ClientSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        limits.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(
                                connections.incrementAndGet(), endpoint, pool, limits.idleTimeout(), unexpectedBytes);
                        channel.pipeline()
                                .addLast(new InputMonitor(connection))
                                .addLast(new ResponseDecoder(decoderConfig(), connection))
                                .addLast(new RequestEncoder())
                                .addLast(connection);
                    }
                });
        if (limits.tcpKeepAlive()) {
            bootstrap
                    .option(ChannelOption.SO_KEEPALIVE, true)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
        }
        return bootstrap;
    }

    private static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setHeadersFactory(LimitedFields.of(MAX_HEADER_FIELDS))
                .setTrailersFactory(DiscardedTrailers.INSTANCE);
    }
}
