package org.boragebarrow.standins.platform;

import java.util.concurrent.TimeUnit;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.standins.web.WebServer;

/**
 * A stand-in for the platform's table service, object store, host list and weight store at one endpoint.
 *
 * <p>{@code POST /faults} sets the faults of all components and {@code POST /faults/table} those of one; {@code PUT
 * /hosts} and {@code POST /hosts/{id}/leaving} edit the host list; {@code GET /counters} returns how many calls each
 * component has received.
 */
public final class PlatformStandin implements AutoCloseable {
    private final WebServer server;

    private PlatformStandin(WebServer server) {
        this.server = server;
    }

    /** Starts the stand-in on one event loop of the group. */
    public static PlatformStandin start(EventLoopGroup group, PlatformSettings settings) {
        EventLoop loop = group.next();
        PlatformHandler handler = new PlatformHandler(
                settings,
                Ticker.systemTicker(),
                (delay, action) -> loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS));
        // The handler is not thread-safe, so all connections share one event loop.
        return new PlatformStandin(WebServer.start(loop, settings.endpoint(), handler));
    }

    /** Returns the endpoint on which the stand-in listens. */
    public Endpoint endpoint() {
        return server.endpoint();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        server.close();
    }
}
