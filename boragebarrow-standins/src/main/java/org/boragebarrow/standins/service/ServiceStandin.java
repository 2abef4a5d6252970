package org.boragebarrow.standins.service;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.standins.web.WebServer;

/**
 * A stand-in for a plain service: {@code GET /stock?item=}, {@code POST /furnace/bookings}, and an echo at every other
 * path.
 *
 * <p>{@code GET /runs} returns the counted runs and {@code POST /faults} sets {@link ServiceFaults}.
 */
public final class ServiceStandin implements AutoCloseable {
    private final WebServer server;

    private ServiceStandin(WebServer server) {
        this.server = server;
    }

    /** Starts the service on one event loop of the group; the seed determines which calls fail. */
    public static ServiceStandin start(EventLoopGroup group, Endpoint endpoint, long seed) {
        EventLoop loop = group.next();
        ServiceHandler handler = new ServiceHandler(
                new SplittableRandom(seed),
                (delay, action) -> loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS));
        // The handler is not thread-safe, so all connections share one event loop.
        return new ServiceStandin(WebServer.start(loop, endpoint, handler));
    }

    /** Returns the endpoint on which the service listens. */
    public Endpoint endpoint() {
        return server.endpoint();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        server.close();
    }
}
