package org.boragebarrow.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.standins.engine.EngineStandin;
import org.boragebarrow.standins.platform.PlatformSettings;
import org.boragebarrow.standins.platform.PlatformStandin;
import org.boragebarrow.standins.service.ServiceStandin;

/** All stand-ins that run in one process. */
public final class StandinFleet implements AutoCloseable {
    private static final long SHUTDOWN_SECONDS = 5;

    private final EventLoopGroup group;
    private final List<RunningStandin> standins = new ArrayList<>();

    private StandinFleet(EventLoopGroup group) {
        this.group = group;
    }

    private interface Stoppable {
        void close();
    }

    private record RunningStandin(String description, Stoppable standin) {}

    /** Starts all stand-ins of the settings; if one of them fails to start, those already started are stopped. */
    public static StandinFleet start(StandinsSettings settings) {
        int standinCount = 1 + settings.engines().size() + settings.services().size();
        int threads = Math.min(standinCount, Runtime.getRuntime().availableProcessors());
        StandinFleet fleet = new StandinFleet(new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()));
        try {
            settings.engines().forEach(fleet::startEngine);
            settings.services().forEach(fleet::startService);
            settings.platform().ifPresent(fleet::startPlatform);
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    /** Returns a line with the name and endpoint of each stand-in, in the order of their start. */
    public ImmutableList<String> descriptions() {
        return standins.stream().map(RunningStandin::description).collect(ImmutableList.toImmutableList());
    }

    /** Stops all stand-ins and closes their connections. */
    @Override
    public void close() {
        for (RunningStandin running : Lists.reverse(standins)) {
            running.standin.close();
        }
        group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void startEngine(StandinsSettings.Engine engine) {
        EngineStandin standin = EngineStandin.start(
                group, engine.target().id(), engine.target().endpoint(), engine.settings(), engine.seed());
        add("engine " + engine.target().id(), standin.endpoint(), standin::close);
    }

    private void startService(StandinsSettings.Service service) {
        ServiceStandin standin = ServiceStandin.start(group, service.target().endpoint(), service.seed());
        add("service " + service.target().id(), standin.endpoint(), standin::close);
    }

    private void startPlatform(PlatformSettings settings) {
        PlatformStandin standin = PlatformStandin.start(group, settings);
        add("platform", standin.endpoint(), standin::close);
    }

    private void add(String name, Endpoint endpoint, Stoppable standin) {
        standins.add(new RunningStandin(name + " listens on " + endpoint, standin));
    }
}
