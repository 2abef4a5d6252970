package org.boragebarrow.http.server;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.netty.channel.Channel;

/**
 * The open connections of one server, of bounded number. Thread-safe.
 *
 * <p>At the bound, a new connection takes the place of the one that has been expendable for longest: because it has not completed a
 * request, because its last request was refused or failed, or because its last response was sent and it is only read until its caller
 * has noticed; in some tables also because it is idle. One that is idle after a request that succeeded keeps its place.
 */
final class ConnectionTable {
    private final boolean replacesIdle;

    @GuardedBy("this") private final Set<Channel> open = new HashSet<>();

    @GuardedBy("this") private final Set<Channel> expendable = new LinkedHashSet<>();

    @GuardedBy("this") private long evictions;

    private ConnectionTable(boolean replacesIdle) {
        this.replacesIdle = replacesIdle;
    }

    /** Returns a table in which a connection keeps its place while it is idle after a request that succeeded. */
    static ConnectionTable keepingIdle() {
        return new ConnectionTable(false);
    }

    /** Returns a table in which a connection keeps its place only while it has a request in progress. */
    static ConnectionTable replacingIdle() {
        return new ConnectionTable(true);
    }

    /** Adds a connection; returns false if there is no room for it. */
    boolean add(Channel connection, int maxConnections) {
        synchronized (this) {
            while (open.size() >= maxConnections) {
                Iterator<Channel> oldest = expendable.iterator();
                if (!oldest.hasNext()) {
                    return false;
                }
                Channel evicted = oldest.next();
                oldest.remove();
                open.remove(evicted);
                evictions++;
                evicted.eventLoop().execute(evicted::close);
            }
            open.add(connection);
            expendable.add(connection);
        }
        connection.closeFuture().addListener(ignored -> remove(connection));
        return true;
    }

    private synchronized void remove(Channel connection) {
        open.remove(connection);
        expendable.remove(connection);
    }

    /** Keeps the place of a connection whose request is complete and in progress. */
    synchronized void onRequest(Channel connection) {
        expendable.remove(connection);
    }

    /**
     * Records that the response is complete.
     *
     * @param succeeded whether it was a success
     */
    synchronized void onIdle(Channel connection, boolean succeeded) {
        if (replacesIdle || !succeeded) {
            offer(connection);
        }
    }

    /** Offers the place of a connection that carries no more requests. */
    synchronized void offer(Channel connection) {
        if (open.contains(connection)) {
            expendable.add(connection);
        }
    }

    /** Returns whether a new connection would find a place. */
    synchronized boolean hasRoom(int maxConnections) {
        return open.size() < maxConnections || !expendable.isEmpty();
    }

    synchronized long evictions() {
        return evictions;
    }
}
