package org.boragebarrow.node.settings;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.RegionId;

/**
 * The validated settings of a host that relays requests to targets unchanged.
 *
 * @param cpuShare the fraction of each of the host's cores that the host may use
 * @param cores the speed of the host's processor, in cores of an ordinary processor
 * @param readiness the endpoint where the balancer checks whether the host accepts connections
 * @param metrics the endpoint that serves counters and histograms
 * @param peers the endpoint to which other hosts connect
 * @param store the endpoint of the platform's store
 * @param shutdownGrace the time from the request to stop until the process is killed
 * @param retryRatio retries that all hosts together may send for each request
 * @param retrySlack retries that all hosts together may send beyond the ratio in a window
 * @param retryWindow the sliding window in which retries are counted
 * @param duplicateShare second copies of slow requests that may be sent for each request; none if 0
 * @param sendsRanks whether targets are told the ranks of requests
 * @param quarantineDuration how long the first quarantine of a part of prompts lasts
 * @param regions the regions of zones
 * @param limits what the process may use
 * @param admin where operators list and edit the quarantine; empty if they cannot
 */
public record RelaySettings(
        HostId id,
        AvailabilityZoneId zone,
        double cpuShare,
        double cores,
        Endpoint callers,
        Endpoint readiness,
        Endpoint metrics,
        Endpoint peers,
        Endpoint store,
        Duration shutdownGrace,
        double retryRatio,
        int retrySlack,
        Duration retryWindow,
        double duplicateShare,
        boolean sendsRanks,
        Duration quarantineDuration,
        ZoneRegions regions,
        ProcessLimits limits,
        Optional<Admin> admin) {
    /** The endpoint where operators connect, and the token that they present. */
    public record Admin(Endpoint endpoint, Secret token) {}

    private static final String ENDPOINT_TYPE = "IP address and port";
    private static final Endpoint NO_ENDPOINT = Endpoint.of("127.0.0.1", 0);
    private static final String REGIONS_SECTION = "regions";
    private static final RegionId UNKNOWN_REGION = RegionId.of("unknown");
    private static final double HOUR_SECONDS = 3_600;
    private static final double MIN_RETRY_WINDOW_SECONDS = 0.1;
    private static final double MAX_RETRY_RATIO = 1_000;
    private static final double MAX_RETRY_SLACK = 1_000_000_000;
    private static final int WEEK_MINUTES = 7 * 24 * 60;

    private static final int MEBIBYTE_BITS = 20;
    private static final int CENTICORES_PER_CORE = 100;
    private static final double MAX_CORES = 1_024;
    private static final int MAX_MAX_DESCRIPTORS = 10_000_000;
    private static final int MAX_MEMORY_MEBIBYTES = 1 << 20;

    private static final Setting<BigDecimal> CPU_SHARE = Setting.number(
            "host",
            "cpu-share",
            "",
            "1",
            0,
            MAX_CORES,
            "The fraction of each of the host's cores that the host may use.");
    private static final Setting<BigDecimal> CORES = Setting.number(
            "host",
            "cores",
            "",
            "1",
            0,
            MAX_CORES,
            "The host's processor in cores. The largest hosts assign targets and poll tables for the others.");
    private static final Setting<Integer> MAX_DESCRIPTORS = Setting.integer(
            "host",
            "max-descriptors",
            "files and sockets",
            0,
            0,
            MAX_MAX_DESCRIPTORS,
            "The files and sockets that the process may have open; 0 for 4096, or fewer if the system allows fewer.");
    private static final Setting<Integer> REQUEST_MEMORY = Setting.integer(
            "callers",
            "memory-mb",
            "MiB",
            0,
            0,
            MAX_MEMORY_MEBIBYTES,
            "The memory that all requests may hold, at most half of the heap; 0 for a third of the heap.");
    private static final Setting<Endpoint> READINESS = Setting.required(
            "readiness",
            "endpoint",
            ENDPOINT_TYPE,
            "Where the balancer checks whether the host is ready.",
            Endpoint::parse);
    private static final Setting<Endpoint> METRICS =
            Setting.required("metrics", "endpoint", ENDPOINT_TYPE, "Where metrics are served.", Endpoint::parse);
    private static final Setting<Endpoint> STORE = Setting.required(
            "store", "endpoint", ENDPOINT_TYPE, "Where the platform's store listens.", Endpoint::parse);
    private static final Setting<Duration> SHUTDOWN_GRACE = Setting.seconds(
            "stopping",
            "grace-s",
            "8",
            0,
            HOUR_SECONDS,
            RoundingMode.FLOOR,
            "The time from the request to stop until the process is killed.");
    private static final Setting<BigDecimal> RETRY_RATIO = Setting.number(
            "repeats",
            "ratio",
            "",
            "0.2",
            0,
            MAX_RETRY_RATIO,
            "Retries that all hosts together may send for each request.");
    private static final Setting<BigDecimal> RETRY_SLACK = Setting.number(
            "repeats",
            "allowance",
            "repeats",
            "100",
            0,
            MAX_RETRY_SLACK,
            "Retries that all hosts together may send beyond the ratio in a window; a fraction is dropped.");
    private static final Setting<Duration> RETRY_WINDOW = Setting.seconds(
            "repeats",
            "window-s",
            "10",
            MIN_RETRY_WINDOW_SECONDS,
            HOUR_SECONDS,
            RoundingMode.CEILING,
            "The sliding window in which retries are counted.");
    private static final Setting<BigDecimal> DUPLICATE_SHARE = Setting.number(
            "duplicates",
            "share",
            "",
            "0",
            0,
            1,
            "Second copies of slow requests, as a fraction of the requests that may be repeated; 0 sends none.");
    private static final Setting<Boolean> SEND_RANKS = Setting.of(
            "targets",
            "send-ranks",
            "yes or no",
            "yes",
            "Whether targets are told the ranks of requests for which one is configured.",
            RelaySettings::parseYesOrNo);
    private static final Setting<Integer> QUARANTINE_MINUTES = Setting.integer(
            "quarantine",
            "minutes",
            "minutes",
            60,
            1,
            WEEK_MINUTES,
            "How long a part of prompts that crashes targets is refused at first; repeated offences double it.");
    private static final Setting<Optional<Endpoint>> ADMIN_ENDPOINT = Setting.of(
            "admin",
            "endpoint",
            ENDPOINT_TYPE + ", or empty",
            "",
            "Where operators list and edit the quarantine; without it they cannot.",
            text -> text.isEmpty() ? Optional.empty() : Optional.of(Endpoint.parse(text)));
    private static final Setting<Optional<Secret>> ADMIN_TOKEN = Setting.of(
            "admin",
            "token",
            "file:PATH or env:NAME, or empty",
            "",
            "The operators' token; required with an endpoint.",
            text -> text.isEmpty() ? Optional.empty() : Optional.of(Secret.parse(text)));

    /**
     * Reads and validates a settings file.
     *
     * @throws SettingsException if the file is invalid, with all its problems
     * @throws IOException if the file cannot be read
     */
    public static RelaySettings read(Path path) throws IOException {
        return of(SettingsFile.read(path));
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @throws SettingsException if the text is invalid, with all its problems
     */
    public static RelaySettings parse(String text) {
        return of(SettingsFile.parse(text));
    }

    private static RelaySettings of(SettingsFile file) {
        RelaySettings settings = new RelaySettings(
                file.get(SettingKeys.HOST_ID, HostId.of("unknown")),
                file.get(SettingKeys.HOST_ZONE, AvailabilityZoneId.of("unknown")),
                file.get(CPU_SHARE, BigDecimal.ZERO).doubleValue(),
                file.get(CORES, BigDecimal.ZERO).doubleValue(),
                file.get(SettingKeys.CALLERS_ENDPOINT, NO_ENDPOINT),
                file.get(READINESS, NO_ENDPOINT),
                file.get(METRICS, NO_ENDPOINT),
                file.get(SettingKeys.PEERS_ENDPOINT, NO_ENDPOINT),
                file.get(STORE, NO_ENDPOINT),
                file.get(SHUTDOWN_GRACE, Duration.ZERO),
                file.get(RETRY_RATIO, BigDecimal.ZERO).doubleValue(),
                file.get(RETRY_SLACK, BigDecimal.ZERO).intValue(),
                file.get(RETRY_WINDOW, Duration.ZERO),
                file.get(DUPLICATE_SHARE, BigDecimal.ZERO).doubleValue(),
                file.get(SEND_RANKS, true),
                Duration.ofMinutes(file.get(QUARANTINE_MINUTES, 1)),
                regions(file),
                limits(file),
                admin(file));
        file.throwIfInvalid();
        return settings;
    }

    private static boolean parseYesOrNo(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException("neither yes nor no: \"" + text + "\"");
        };
    }

    private static ZoneRegions regions(SettingsFile file) {
        ImmutableMap.Builder<AvailabilityZoneId, RegionId> regions = ImmutableMap.builder();
        for (String zone : file.keys(REGIONS_SECTION)) {
            Setting<RegionId> setting = Setting.required(
                    REGIONS_SECTION, zone, "region", "The region of an availability zone.", RegionId::of);
            if (Ids.isValid(zone)) {
                regions.put(AvailabilityZoneId.of(zone), file.get(setting, UNKNOWN_REGION));
            } else {
                file.addProblem(REGIONS_SECTION, zone, "not the name of an availability zone");
            }
        }
        return new ZoneRegions(regions.buildOrThrow());
    }

    private static ProcessLimits limits(SettingsFile file) {
        long memory = (long) file.get(REQUEST_MEMORY, 0) << MEBIBYTE_BITS;
        try {
            return ProcessLimits.of(file.get(MAX_DESCRIPTORS, 0), memory);
        } catch (IllegalArgumentException e) {
            file.addProblem("callers", REQUEST_MEMORY.key(), e.getMessage());
            return ProcessLimits.of(0, 0);
        }
    }

    private static Optional<Admin> admin(SettingsFile file) {
        Optional<Endpoint> endpoint = file.get(ADMIN_ENDPOINT, Optional.empty());
        Optional<Secret> token = file.get(ADMIN_TOKEN, Optional.empty());
        if (endpoint.isPresent() && token.isEmpty()) {
            file.addProblem("admin", "token", "missing, but [admin] endpoint is set");
        }
        return endpoint.flatMap(at -> token.map(secret -> new Admin(at, secret)));
    }

    /** Returns the processing capacity that the host may use, in hundredths of an ordinary core. */
    public int centicores() {
        return (int) Math.round(CENTICORES_PER_CORE * cpuShare * cores);
    }
}
