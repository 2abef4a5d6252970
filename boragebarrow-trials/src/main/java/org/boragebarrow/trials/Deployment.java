package org.boragebarrow.trials;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.decision.member.ZonesView;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.http.platform.HostListMessages.ListingMessage;
import org.boragebarrow.http.platform.PlatformJson;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.node.Host;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.settings.HostSettings;
import org.boragebarrow.port.HostList;
import org.boragebarrow.standins.engine.EngineStandin;
import org.boragebarrow.standins.platform.PlatformSettings;
import org.boragebarrow.standins.platform.PlatformStandin;
import org.boragebarrow.standins.service.ServiceStandin;

import static com.google.common.base.Preconditions.checkState;

/** Runs hosts of several availability zones and the stand-ins that they use, all in this process. Thread-safe. */
public final class Deployment implements AutoCloseable {
    /** The plain service with a target in each zone. */
    public static final ServiceName DESK = ServiceName.of("desk");

    /** The bearer token of the admin ports. */
    public static final String ADMIN_TOKEN = "operators";

    private static final Endpoint ANY_PORT = Endpoint.of("127.0.0.1", 0);
    private static final Duration HOST_LIST_LAG = Duration.ofMillis(200);
    private static final int LOADS_PER_MINUTE = 600;
    private static final long READY_TIMEOUT_SECONDS = 60;

    private final DeploymentSpec spec;
    private final String extraSettings;
    private final EventLoopGroup standinLoops;
    private final PlatformStandin platform;
    private final Path secrets;
    private final Map<TargetId, EngineStandin> engines = new TreeMap<>();
    private final Map<TargetId, ServiceStandin> services = new TreeMap<>();
    private final List<Target> targets = new ArrayList<>();
    private final Map<HostId, RunningHost> hosts = new TreeMap<>();
    private final AtomicLong lastIncarnation = new AtomicLong();

    /** A running host and its availability zone. */
    private record RunningHost(Host host, AvailabilityZoneId zone) {}

    private Deployment(DeploymentSpec spec, String extraSettings) throws IOException {
        this.spec = spec;
        this.extraSettings = extraSettings;
        this.standinLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        this.secrets = Files.createTempDirectory("boragebarrow-trials");
        Files.writeString(secrets.resolve("admin"), ADMIN_TOKEN);
        Files.writeString(secrets.resolve("peers"), "a key that all hosts of a trial share");
        HostList.Listing emptyListing = new HostList.Listing(ImmutableList.of(), ImmutableList.of());
        this.platform = PlatformStandin.start(
                standinLoops,
                new PlatformSettings(ANY_PORT, emptyListing, HOST_LIST_LAG, LOADS_PER_MINUTE, spec.seed()));
    }

    /** Starts all stand-ins and hosts and waits until every host is ready. */
    public static Deployment start(DeploymentSpec spec) {
        return start(spec, Network.withoutIsolation());
    }

    /** Starts a deployment whose hosts communicate with each other and the platform over the network. */
    public static Deployment start(DeploymentSpec spec, Network network) {
        return start(spec, network, "");
    }

    /** Starts a deployment whose hosts have additional sections in their settings files. */
    public static Deployment start(DeploymentSpec spec, Network network, String extraSettings) {
        try {
            Deployment deployment = new Deployment(spec, extraSettings);
            deployment.startTargets();
            for (AvailabilityZoneId zone : spec.zoneIds()) {
                for (int number = 1; number <= spec.hostsPerZone(); number++) {
                    deployment.startHost(HostId.of("host-" + zone + number), zone, network);
                }
            }
            deployment.publishHostList();
            deployment.awaitReady();
            return deployment;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startTargets() {
        long seed = spec.seed();
        for (AvailabilityZoneId zone : spec.zoneIds()) {
            for (int number = 1; number <= spec.enginesPerZone(); number++) {
                TargetId id = TargetId.of("engine-" + zone + number);
                EngineStandin engine = EngineStandin.start(standinLoops, id, ANY_PORT, spec.engine(), ++seed);
                engines.put(id, engine);
                targets.add(new Target(id, TargetKind.ENGINE, zone, engine.endpoint(), Optional.empty(), false));
            }
            TargetId id = TargetId.of("desk-" + zone);
            ServiceStandin service = ServiceStandin.start(standinLoops, ANY_PORT, ++seed);
            services.put(id, service);
            targets.add(new Target(id, TargetKind.SERVICE, zone, service.endpoint(), Optional.of(DESK), false));
        }
    }

    /** Starts a host, or another incarnation of a host that was killed or drained. */
    public Host startHost(HostId id, AvailabilityZoneId zone, Network network) {
        return startHost(id, zone, network, extraSettings);
    }

    /** Starts a host with the given additional sections in its settings. */
    public synchronized Host startHost(HostId id, AvailabilityZoneId zone, Network network, String sections) {
        checkState(!hosts.containsKey(id), "host %s is already running", id);
        Host host = Host.start(
                HostSettings.parse(settingsText(id, zone) + sections),
                IncarnationNumber.of(lastIncarnation.incrementAndGet()),
                network.decoratorFor(id, zone));
        hosts.put(id, new RunningHost(host, zone));
        network.registerHost(id, zone, host.peerEndpoint());
        return host;
    }

    private String settingsText(HostId id, AvailabilityZoneId zone) {
        String seeds = hosts.entrySet().stream()
                .map(entry -> entry.getKey() + "@" + entry.getValue().zone() + "@"
                        + entry.getValue().host().peerEndpoint())
                .reduce((left, right) -> left + ", " + right)
                .orElse("");
        return """
                [host]
                id = %1$s
                zone = %2$s
                [callers]
                endpoint = 127.0.0.1:0
                [admin]
                endpoint = 127.0.0.1:0
                token = file:%3$s/admin
                [peers]
                endpoint = 127.0.0.1:0
                key = file:%3$s/peers
                seeds = %4$s
                [platform]
                table = %5$s
                objects = %5$s
                host-list = %5$s
                weights = %5$s
                timeout-ms = 1000
                [requests]
                drain-grace-ms = 300
                [service desk]
                repeatable = GET /stock
                """.formatted(id, zone, secrets, seeds, platform.endpoint());
    }

    /** Returns the sections of a host's settings that list all targets. */
    public String targetSettings() {
        StringBuilder sections = new StringBuilder();
        for (Target target : targets) {
            sections.append("[target ").append(target.id()).append("]\n");
            sections.append("zone = ").append(target.zone()).append('\n');
            sections.append("endpoint = ").append(target.endpoint()).append('\n');
            target.service()
                    .ifPresent(service ->
                            sections.append("service = ").append(service).append('\n'));
        }
        return sections.toString();
    }

    /** Replaces the platform's host list by the running hosts and all targets. */
    public synchronized void publishHostList() {
        ImmutableList.Builder<HostList.EntryHost> entries = ImmutableList.builder();
        hosts.forEach((id, running) -> entries.add(
                new HostList.EntryHost(id, running.zone(), running.host().peerEndpoint(), false)));
        HostList.Listing listing = new HostList.Listing(entries.build(), ImmutableList.copyOf(targets));
        byte[] body = PlatformJson.write(ListingMessage.of(listing));
        Caller.sendForSuccess("PUT", platform.endpoint(), "/hosts", body);
    }

    /** Waits until every host is ready and lists all others, and each dispatcher has reports of its zone's engines. */
    public void awaitReady() {
        Waiting.until(
                READY_TIMEOUT_SECONDS,
                "every host is ready",
                () -> hosts().stream().allMatch(Host::isReady));
        Waiting.until(
                READY_TIMEOUT_SECONDS,
                "every host lists all other hosts",
                () -> hosts().stream().allMatch(this::listsAllHosts));
        Waiting.until(
                READY_TIMEOUT_SECONDS, "every dispatcher has load reports of its engines", this::allEnginesReported);
    }

    private boolean listsAllHosts(Host host) {
        Members members = host.members();
        long sameZone = members.members().live().size();
        long otherZones = members.zones().zones().values().stream()
                .filter(ZonesView.ZoneStatus::responsive)
                .mapToLong(zone -> zone.members().size())
                .sum();
        return sameZone + otherZones >= hosts().size();
    }

    private boolean allEnginesReported() {
        return hosts().stream()
                .filter(host -> host.members().holds(new Role.Dispatcher()))
                .allMatch(host -> host.reportedTargets().size() >= spec.enginesPerZone());
    }

    /** Returns the running hosts in the order of their ids. */
    public synchronized ImmutableList<Host> hosts() {
        return hosts.values().stream().map(RunningHost::host).collect(ImmutableList.toImmutableList());
    }

    /** Returns the ids of the running hosts in ascending order. */
    public synchronized ImmutableList<HostId> hostIds() {
        return ImmutableList.copyOf(hosts.keySet());
    }

    /**
     * Returns a running host.
     *
     * @throws IllegalStateException if the host is not running
     */
    public synchronized Host host(HostId id) {
        checkState(hosts.containsKey(id), "host %s is not running", id);
        return hosts.get(id).host();
    }

    /** Stops a host at once, as if its process were killed. */
    public void kill(HostId id) {
        remove(id).close();
    }

    /** Drains a host and stops it. */
    public void drain(HostId id) throws InterruptedException {
        remove(id).drain();
    }

    private synchronized Host remove(HostId id) {
        RunningHost running = hosts.remove(id);
        checkState(running != null, "host %s is not running", id);
        return running.host();
    }

    /** Returns the stand-in engines by id. */
    public Map<TargetId, EngineStandin> engines() {
        return engines;
    }

    /** Returns the stand-ins for plain services by id. */
    public Map<TargetId, ServiceStandin> services() {
        return services;
    }

    /** Returns the endpoint of the stand-in platform. */
    public Endpoint platform() {
        return platform.endpoint();
    }

    /** Returns the specification that the deployment was started with. */
    public DeploymentSpec spec() {
        return spec;
    }

    @Override
    public void close() {
        for (HostId id : hostIds()) {
            kill(id);
        }
        engines.values().forEach(EngineStandin::close);
        services.values().forEach(ServiceStandin::close);
        platform.close();
        standinLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
