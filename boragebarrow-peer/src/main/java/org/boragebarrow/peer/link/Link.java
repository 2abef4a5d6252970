package org.boragebarrow.peer.link;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.peer.proto.Envelope;

/**
 * The outgoing link to one peer. The first message opens it, and the first message after a failure reopens it.
 *
 * <p>Thread-safe. Messages are held in a bounded queue until the handshake is complete. A message is dropped if the
 * queue is full or the channel is not writable; {@link #send} then returns false.
 */
final class Link {
    private static final int MAX_PENDING_MESSAGES = 256;

    private final Endpoint endpoint;
    private final PeerIdentity self;
    private final Supplier<PeerKey> key;
    private final PeerListener listener;
    private final PeerTraffic traffic;
    private final Bootstrap bootstrap;

    @GuardedBy("this") private final Deque<Envelope> pendingMessages = new ArrayDeque<>();

    @GuardedBy("this") private Channel channel;

    @GuardedBy("this") private boolean opening;

    @GuardedBy("this") private boolean shutdown;

    Link(
            Endpoint endpoint,
            PeerIdentity self,
            Supplier<PeerKey> key,
            PeerListener listener,
            PeerTraffic traffic,
            Bootstrap bootstrap) {
        this.endpoint = endpoint;
        this.self = self;
        this.key = key;
        this.listener = listener;
        this.traffic = traffic;
        this.bootstrap = bootstrap;
    }

    boolean send(Envelope message) {
        synchronized (this) {
            if (shutdown) {
                return false;
            }
            if (channel != null) {
                boolean writable = channel.isWritable();
                if (writable) {
                    channel.writeAndFlush(message, channel.voidPromise());
                }
                return writable;
            }
            if (pendingMessages.size() >= MAX_PENDING_MESSAGES) {
                return false;
            }
            pendingMessages.add(message);
            if (opening) {
                return true;
            }
            opening = true;
        }
        open();
        return true;
    }

    synchronized long unsentBytes() {
        ChannelOutboundBuffer buffer = channel == null ? null : channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void open() {
        ChannelInitializer<SocketChannel> initializer = new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel connection) {
                PeerPipelines.install(connection.pipeline(), traffic);
                connection.pipeline().addLast(new ConnectHandler(self, key.get(), Link.this, listener));
            }
        };
        InetSocketAddress address = new InetSocketAddress(endpoint.address(), endpoint.port());
        ChannelFuture connectFuture = bootstrap.clone().handler(initializer).connect(address);
        connectFuture.addListener(future -> {
            if (!future.isSuccess()) {
                onClosed();
            }
        });
    }

    void onOpened(Channel openChannel) {
        synchronized (this) {
            opening = false;
            channel = openChannel;
            if (shutdown) {
                openChannel.close();
                return;
            }
            while (!pendingMessages.isEmpty()) {
                openChannel.write(pendingMessages.poll(), openChannel.voidPromise());
            }
            openChannel.flush();
        }
        listener.onLinkUp(endpoint);
    }

    void onClosed() {
        synchronized (this) {
            opening = false;
            channel = null;
            pendingMessages.clear();
        }
        listener.onLinkDown(endpoint);
    }

    void shutdown() {
        synchronized (this) {
            shutdown = true;
            pendingMessages.clear();
            if (channel != null) {
                channel.close();
            }
        }
    }
}
