package org.boragebarrow.node.settings;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.plan.PlannerSettings;
import org.boragebarrow.http.server.ServerLimits;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;

/** Reads {@link HostSettings} from a settings file. */
final class HostSettingsReader {
    private static final Endpoint NO_ENDPOINT = Endpoint.of("127.0.0.1", 0);
    private static final Duration DEFAULT_LEASE = Duration.ofSeconds(10);

    private final SettingsFile file;

    private HostSettingsReader(SettingsFile file) {
        this.file = file;
    }

    static HostSettings read(SettingsFile file) {
        HostSettingsReader reader = new HostSettingsReader(file);
        HostSettings settings = reader.assemble();
        file.throwIfInvalid();
        return settings;
    }

    private HostSettings assemble() {
        return new HostSettings(
                file.get(SettingKeys.HOST_ID, HostId.of("unknown")),
                file.get(SettingKeys.HOST_ZONE, AvailabilityZoneId.of("unknown")),
                file.get(SettingKeys.IO_THREADS, 1),
                file.get(SettingKeys.CALLERS_ENDPOINT, NO_ENDPOINT),
                limits(),
                file.get(SettingKeys.ADMIN_ENDPOINT, NO_ENDPOINT),
                file.get(SettingKeys.ADMIN_TOKEN, null),
                file.get(SettingKeys.PEERS_ENDPOINT, NO_ENDPOINT),
                file.get(SettingKeys.PEERS_KEY, null),
                file.get(SettingKeys.PEERS_SEEDS, ImmutableList.of()),
                platform(),
                planning(),
                file.get(SettingKeys.MAX_REQUESTS, 1),
                ringCapacity(),
                file.get(SettingKeys.GRANT_TIMEOUT, null),
                file.get(SettingKeys.DRAIN_GRACE, null),
                file.get(SettingKeys.MAX_ORGANISATIONS, 1),
                services(),
                targets());
    }

    private ServerLimits limits() {
        ServerLimits defaults = ServerLimits.defaults();
        try {
            return new ServerLimits(
                    file.get(SettingKeys.MAX_CONNECTIONS, defaults.maxConnections()),
                    file.get(SettingKeys.MAX_HEADER_BYTES, defaults.maxHeaderBytes()),
                    file.get(SettingKeys.MAX_BODY_BYTES, defaults.maxBodyBytes()),
                    ProcessLimits.of(0, file.get(SettingKeys.MAX_BUFFERED_BYTES, 0))
                            .requestMemory(),
                    file.get(SettingKeys.IDLE_TIMEOUT, defaults.idleTimeout()),
                    file.get(SettingKeys.RECEIVE_TIMEOUT, defaults.receiveTimeout()));
        } catch (IllegalArgumentException e) {
            file.addProblem("callers", SettingKeys.MAX_BUFFERED_BYTES.key(), e.getMessage());
            return defaults;
        }
    }

    private int ringCapacity() {
        int capacity = file.get(SettingKeys.RING_CAPACITY, 1);
        if (Integer.bitCount(capacity) != 1) {
            file.addProblem("requests", SettingKeys.RING_CAPACITY.key(), capacity + " is not a power of two");
        }
        return capacity;
    }

    private HostSettings.Platform platform() {
        return new HostSettings.Platform(
                file.get(SettingKeys.TABLE_ENDPOINT, NO_ENDPOINT),
                file.get(SettingKeys.OBJECT_STORE_ENDPOINT, NO_ENDPOINT),
                file.get(SettingKeys.HOST_LIST_ENDPOINT, NO_ENDPOINT),
                file.get(SettingKeys.WEIGHT_STORE_ENDPOINT, NO_ENDPOINT),
                file.get(SettingKeys.PLATFORM_TIMEOUT, null));
    }

    private HostSettings.Planning planning() {
        PlannerSettings defaults = PlannerSettings.of(ImmutableSet.of());
        PlannerSettings planner = new PlannerSettings(
                ImmutableSet.copyOf(file.get(SettingKeys.PLANNER_MODELS, ImmutableList.of())),
                file.get(SettingKeys.MODELS_PER_ENGINE, defaults.modelsPerEngine()),
                file.get(SettingKeys.ENGINE_ROLE, defaults.role()),
                file.get(SettingKeys.PLATFORM_TIMEOUT, defaults.callTimeout()),
                defaults.orderTimeout(),
                file.get(SettingKeys.PLANNER_DWELL, defaults.dwell()));
        return new HostSettings.Planning(
                planner,
                file.get(SettingKeys.PLANNER_LEASE, DEFAULT_LEASE),
                ImmutableSet.copyOf(file.get(SettingKeys.UNFENCED_ENGINES, ImmutableList.of())));
    }

    private ImmutableMap<ServiceName, ServiceSettings> services() {
        ImmutableMap.Builder<ServiceName, ServiceSettings> services = ImmutableMap.builder();
        for (String name : file.sectionNames("service")) {
            String section = "service " + name;
            ImmutableList<RepeatableCall> rules = file.get(section, SettingKeys.REPEATABLE_CALLS, ImmutableList.of());
            try {
                ServiceName service = ServiceName.of(name);
                services.put(service, new ServiceSettings(service, rules));
            } catch (IllegalArgumentException e) {
                file.addProblem(section, "", e.getMessage());
            }
        }
        return services.buildOrThrow();
    }

    private ImmutableList<Target> targets() {
        ImmutableList.Builder<Target> targets = ImmutableList.builder();
        for (String name : file.sectionNames("target")) {
            target(name).ifPresent(targets::add);
        }
        return targets.build();
    }

    private Optional<Target> target(String name) {
        String section = "target " + name;
        String service = file.get(section, SettingKeys.TARGET_SERVICE, "");
        Endpoint endpoint = file.get(section, SettingKeys.TARGET_ENDPOINT, NO_ENDPOINT);
        AvailabilityZoneId zone = file.get(section, SettingKeys.TARGET_ZONE, AvailabilityZoneId.of("unknown"));
        try {
            TargetKind kind = service.isEmpty() ? TargetKind.ENGINE : TargetKind.SERVICE;
            Optional<ServiceName> serviceName =
                    service.isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(service));
            return Optional.of(new Target(TargetId.of(name), kind, zone, endpoint, serviceName, false));
        } catch (IllegalArgumentException e) {
            file.addProblem(section, "", e.getMessage());
            return Optional.empty();
        }
    }
}
