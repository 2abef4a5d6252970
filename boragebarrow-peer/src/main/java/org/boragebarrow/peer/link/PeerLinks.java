package org.boragebarrow.peer.link;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.peer.proto.Envelope;

import static com.google.common.base.Preconditions.checkNotNull;

/** The links of one host: outgoing links that it opens to send and incoming links that it accepts. Thread-safe. */
public final class PeerLinks implements PeerSender, AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int DEFAULT_MAX_STRANGERS = 512;
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(1 << 20, 4 << 20);

    private final PeerIdentity self;
    private volatile PeerKey key;
    private final PeerListener listener;
    private final Strangers strangers;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Bootstrap bootstrap;
    private final ChannelGroup acceptedChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Channel serverChannel;
    private final Map<Endpoint, Link> links = new ConcurrentHashMap<>();

    private PeerLinks(
            PeerIdentity self,
            PeerKey key,
            PeerListener listener,
            EventLoopGroup group,
            Endpoint endpoint,
            int maxStrangers) {
        this.strangers = new Strangers(maxStrangers);
        this.self = self;
        this.key = key;
        this.listener = listener;
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS);
        this.serverChannel = listen(group, endpoint);
    }

    /**
     * Starts listening for peers.
     *
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static PeerLinks start(
            PeerIdentity self, PeerKey key, PeerListener listener, EventLoopGroup group, Endpoint endpoint) {
        return start(self, key, listener, group, endpoint, DEFAULT_MAX_STRANGERS);
    }

    /**
     * Starts listening for peers.
     *
     * @param maxStrangers the maximum number of connections of hosts that have not proved their identity yet
     * @throws RuntimeException if the endpoint cannot be bound
     */
    public static PeerLinks start(
            PeerIdentity self,
            PeerKey key,
            PeerListener listener,
            EventLoopGroup group,
            Endpoint endpoint,
            int maxStrangers) {
        return new PeerLinks(
                checkNotNull(self),
                checkNotNull(key),
                checkNotNull(listener),
                group,
                checkNotNull(endpoint),
                maxStrangers);
    }

    private Channel listen(EventLoopGroup group, Endpoint endpoint) {
        ChannelInitializer<SocketChannel> initializer = new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel connection) {
                strangers.add(connection);
                acceptedChannels.add(connection);
                PeerPipelines.install(connection.pipeline(), traffic);
                connection.pipeline().addLast(new AcceptHandler(self, key, listener, strangers::remove));
            }
        };
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer)
                .bind(new InetSocketAddress(endpoint.address(), endpoint.port()))
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the endpoint at which this host listens, with the actual port if port 0 was requested. */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) serverChannel.localAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    @Override
    public boolean send(Endpoint peer, Envelope message) {
        Link link = links.computeIfAbsent(
                checkNotNull(peer), endpoint -> new Link(endpoint, self, () -> key, listener, traffic, bootstrap));
        return link.send(checkNotNull(message));
    }

    /** Sets the key of the links that are opened or accepted from now on; open links stay. */
    public void setKey(PeerKey newKey) {
        key = checkNotNull(newKey);
    }

    /** Returns the counters of bytes sent and received over all links. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Returns the number of bytes buffered on all open outgoing links, not yet written to the network. */
    public long unsentBytes() {
        return links.values().stream().mapToLong(Link::unsentBytes).sum();
    }

    /** Closes and removes the outgoing link to a peer, if there is one; a later message opens a new link. */
    public void closeLink(Endpoint peer) {
        Link link = links.remove(checkNotNull(peer));
        if (link != null) {
            link.shutdown();
        }
    }

    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
        acceptedChannels.close().awaitUninterruptibly();
        links.values().forEach(Link::shutdown);
    }
}
