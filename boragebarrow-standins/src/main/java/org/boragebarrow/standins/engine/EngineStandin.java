package org.boragebarrow.standins.engine;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.standins.web.WebServer;

import static com.google.common.base.Preconditions.checkNotNull;

/** A running stand-in for a model engine. Thread-safe; all its work runs on one event loop. */
public final class EngineStandin implements AutoCloseable {
    private static final long SHUTDOWN_SECONDS = 2;

    private final TargetId id;
    private final EngineDriver driver;
    private final WebServer server;
    private final Optional<EventLoopGroup> ownGroup;
    private final AtomicBoolean closed = new AtomicBoolean();

    private EngineStandin(TargetId id, EngineDriver driver, WebServer server, Optional<EventLoopGroup> ownGroup) {
        this.id = id;
        this.driver = driver;
        this.server = server;
        this.ownGroup = ownGroup;
    }

    /** Starts an engine on its own thread; port 0 selects any free port. */
    public static EngineStandin start(TargetId id, Endpoint endpoint, EngineSettings settings, long seed) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        return start(group, id, endpoint, settings, seed, Optional.of(group));
    }

    /** Starts an engine on one event loop of the group; closing the engine does not shut the group down. */
    public static EngineStandin start(
            EventLoopGroup group, TargetId id, Endpoint endpoint, EngineSettings settings, long seed) {
        return start(group, id, endpoint, settings, seed, Optional.empty());
    }

    private static EngineStandin start(
            EventLoopGroup group,
            TargetId id,
            Endpoint endpoint,
            EngineSettings settings,
            long seed,
            Optional<EventLoopGroup> ownGroup) {
        checkNotNull(id);
        checkNotNull(endpoint);
        checkNotNull(settings);
        var loop = group.next();
        EngineDriver driver = new EngineDriver(loop, settings, new SplittableRandom(seed), System::nanoTime);
        WebServer server = WebServer.start(loop, endpoint, new EngineRoutes(driver));
        loop.execute(driver::start);
        return new EngineStandin(id, driver, server, ownGroup);
    }

    /** Returns the engine's id. */
    public TargetId id() {
        return id;
    }

    /** Returns the endpoint on which the engine listens. */
    public Endpoint endpoint() {
        return server.endpoint();
    }

    /** Replaces the faults that the engine injects. */
    public void setFaults(EngineFaults faults) {
        checkNotNull(faults);
        driver.execute(() -> driver.setFaults(faults));
    }

    /** Stops the engine abruptly: its connections are reset and its state is lost. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        driver.execute(driver::stop);
        server.close();
        ownGroup.ifPresent(group ->
                group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly());
    }
}
