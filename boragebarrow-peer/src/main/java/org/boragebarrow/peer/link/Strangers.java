package org.boragebarrow.peer.link;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.netty.channel.Channel;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The accepted connections whose peers have not proved their identity yet, of bounded number: a further one takes the
 * place of the one that has been open longest. Thread-safe.
 */
final class Strangers {
    private final int maxConnections;

    @GuardedBy("this") private final Set<Channel> connections = new LinkedHashSet<>();

    Strangers(int maxConnections) {
        checkArgument(maxConnections > 0, "the maximum must be positive: %s", maxConnections);
        this.maxConnections = maxConnections;
    }

    void add(Channel connection) {
        synchronized (this) {
            if (connections.size() >= maxConnections) {
                Iterator<Channel> oldest = connections.iterator();
                Channel evicted = oldest.next();
                oldest.remove();
                evicted.eventLoop().execute(evicted::close);
            }
            connections.add(connection);
        }
        connection.closeFuture().addListener(ignored -> remove(connection));
    }

    synchronized void remove(Channel connection) {
        connections.remove(connection);
    }
}
