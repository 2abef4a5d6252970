package org.boragebarrow.http.client;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.Channel;
import org.boragebarrow.model.Endpoint;

/** Holds a bounded number of idle connections to each endpoint; thread-safe. */
final class IdleConnectionPool {
    private static final int MAX_IDLE_PER_ENDPOINT = 8;

    private final Map<Endpoint, ArrayDeque<Channel>> idleChannels = new HashMap<>();
    private boolean closed;

    /** Removes and returns the most recently used connection, if there is one. */
    synchronized Optional<Channel> acquire(Endpoint endpoint) {
        ArrayDeque<Channel> channels = idleChannels.get(endpoint);
        if (channels == null) {
            return Optional.empty();
        }
        Channel channel = channels.pop();
        removeIfEmpty(endpoint, channels);
        return Optional.of(channel);
    }

    /** Adds the connection; returns {@code false} if the pool is closed or full for this endpoint. */
    synchronized boolean offer(Endpoint endpoint, Channel channel) {
        ArrayDeque<Channel> channels = idleChannels.computeIfAbsent(endpoint, e -> new ArrayDeque<>());
        boolean accepted = !closed && channels.size() < MAX_IDLE_PER_ENDPOINT;
        if (accepted) {
            channels.push(channel);
        }
        removeIfEmpty(endpoint, channels);
        return accepted;
    }

    /** Removes the connection; returns {@code false} if it is not in the pool, as when a call has acquired it. */
    synchronized boolean remove(Endpoint endpoint, Channel channel) {
        ArrayDeque<Channel> channels = idleChannels.get(endpoint);
        if (channels == null) {
            return false;
        }
        boolean removed = channels.remove(channel);
        removeIfEmpty(endpoint, channels);
        return removed;
    }

    /** Removes and closes the idle connections to one endpoint. */
    synchronized void closeAll(Endpoint endpoint) {
        ArrayDeque<Channel> channels = idleChannels.remove(endpoint);
        if (channels != null) {
            channels.forEach(Channel::close);
        }
    }

    synchronized void close() {
        closed = true;
        for (ArrayDeque<Channel> channels : idleChannels.values()) {
            channels.forEach(Channel::close);
        }
        idleChannels.clear();
    }

    private void removeIfEmpty(Endpoint endpoint, ArrayDeque<Channel> channels) {
        if (channels.isEmpty()) {
            idleChannels.remove(endpoint);
        }
    }
}
