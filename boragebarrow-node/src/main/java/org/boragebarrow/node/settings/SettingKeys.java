package org.boragebarrow.node.settings;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.peer.link.PeerKey;

import static com.google.common.base.Preconditions.checkArgument;

/** The keys that are allowed in a settings file. */
public final class SettingKeys {
    private static final String ENDPOINT_TYPE = "IP address and port";
    private static final String SECRET_TYPE = "file:PATH or env:NAME";
    private static final ImmutableList<String> ENGINE_ROLES = ImmutableList.of("prefill", "decode", "both");
    private static final int GIBIBYTE = 1 << 30;
    private static final int MINUTE_MILLIS = 60_000;

    static final Setting<HostId> HOST_ID =
            Setting.required("host", "id", "id", "The host's name, unique in the deployment.", HostId::of);
    static final Setting<AvailabilityZoneId> HOST_ZONE =
            Setting.required("host", "zone", "id", "The host's availability zone.", AvailabilityZoneId::of);
    static final Setting<Integer> IO_THREADS =
            Setting.integer("host", "io-threads", "threads", 4, 1, 256, "Threads that read and write all connections.");
    static final Setting<Endpoint> CALLERS_ENDPOINT =
            Setting.required("callers", "endpoint", ENDPOINT_TYPE, "Where callers connect.", Endpoint::parse);
    static final Setting<Integer> MAX_CONNECTIONS = Setting.integer(
            "callers",
            "max-connections",
            "connections",
            10_000,
            1,
            1_000_000,
            "The maximum number of open connections; a further one replaces one that never completed a request, or is closed.");
    static final Setting<Integer> MAX_HEADER_BYTES = Setting.integer(
            "callers",
            "max-header-bytes",
            "bytes",
            16_384,
            1_024,
            1_048_576,
            "The maximum size of the request line and, separately, of all headers.");
    static final Setting<Integer> MAX_BODY_BYTES = Setting.integer(
            "callers", "max-body-bytes", "bytes", 16_777_216, 1_024, GIBIBYTE, "The maximum size of a request body.");
    static final Setting<Integer> MAX_BUFFERED_BYTES = Setting.integer(
            "callers",
            "max-buffered-bytes",
            "bytes",
            0,
            0,
            GIBIBYTE,
            "The memory that all requests may hold, at most half of the heap; 0 for a third of the heap.");
    static final Setting<Duration> IDLE_TIMEOUT = Setting.millis(
            "callers", "idle-ms", MINUTE_MILLIS, 100, 60 * MINUTE_MILLIS, "How long a connection may stay idle.");
    static final Setting<Duration> RECEIVE_TIMEOUT = Setting.millis(
            "callers",
            "receive-ms",
            30_000,
            100,
            10 * MINUTE_MILLIS,
            "The time in which a request must be received completely; each 64 KiB of its body add a second.");
    static final Setting<Endpoint> ADMIN_ENDPOINT =
            Setting.required("admin", "endpoint", ENDPOINT_TYPE, "Where operators connect.", Endpoint::parse);
    static final Setting<Secret> ADMIN_TOKEN =
            Setting.required("admin", "token", SECRET_TYPE, "The operators' token.", Secret::parse);
    static final Setting<Endpoint> PEERS_ENDPOINT =
            Setting.required("peers", "endpoint", ENDPOINT_TYPE, "Where other hosts connect.", Endpoint::parse);
    static final Setting<Secret> PEERS_KEY = Setting.required(
            "peers",
            "key",
            SECRET_TYPE,
            "The key that all hosts share, 16 bytes or more.",
            text -> Secret.parse(text).requireMinBytes(PeerKey.MIN_BYTES));
    static final Setting<ImmutableList<Seed>> PEERS_SEEDS = Setting.list(
            "peers",
            "seeds",
            "list of host@zone@address:port",
            "Hosts that are probed to discover the other hosts.",
            Seed::parse);
    static final Setting<Endpoint> TABLE_ENDPOINT =
            Setting.required("platform", "table", ENDPOINT_TYPE, "The table service.", Endpoint::parse);
    static final Setting<Endpoint> OBJECT_STORE_ENDPOINT =
            Setting.required("platform", "objects", ENDPOINT_TYPE, "The object store.", Endpoint::parse);
    static final Setting<Endpoint> HOST_LIST_ENDPOINT = Setting.required(
            "platform", "host-list", ENDPOINT_TYPE, "The service that lists live and leaving hosts.", Endpoint::parse);
    static final Setting<Endpoint> WEIGHT_STORE_ENDPOINT =
            Setting.required("platform", "weights", ENDPOINT_TYPE, "The weight store.", Endpoint::parse);
    static final Setting<Duration> PLATFORM_TIMEOUT = Setting.millis(
            "platform", "timeout-ms", 2_000, 10, MINUTE_MILLIS, "The timeout of a call to a service of the platform.");
    static final Setting<Integer> MAX_REQUESTS = Setting.integer(
            "requests",
            "max-in-progress",
            "requests",
            4_096,
            1,
            1_000_000,
            "The maximum number of requests in progress; further ones are refused.");
    static final Setting<Integer> RING_CAPACITY = Setting.integer(
            "requests",
            "ring-capacity",
            "events, a power of two",
            8_192,
            64,
            1 << 20,
            "The capacity of the event ring of each duty.");
    static final Setting<Duration> GRANT_TIMEOUT = Setting.millis(
            "requests",
            "grant-timeout-ms",
            250,
            10,
            MINUTE_MILLIS,
            "How long to wait for the dispatcher's response before a target is chosen locally.");
    static final Setting<Duration> DRAIN_GRACE = Setting.millis(
            "requests",
            "drain-grace-ms",
            5_000,
            0,
            10 * MINUTE_MILLIS,
            "How long a draining host still accepts requests.");
    static final Setting<Integer> MAX_ORGANISATIONS = Setting.integer(
            "metrics",
            "max-organisations",
            "organisations",
            300,
            1,
            10_000,
            "The maximum number of organisations with metric series of their own.");
    static final Setting<ImmutableList<ModelId>> PLANNER_MODELS = Setting.list(
            "planner",
            "models",
            "list of ids",
            "The models that the zone's engines should have loaded; if empty, engines are left unchanged.",
            ModelId::of);
    static final Setting<Integer> MODELS_PER_ENGINE = Setting.integer(
            "planner",
            "models-per-engine",
            "models",
            1,
            1,
            100,
            "The maximum number of models that an engine has loaded at once.");
    static final Setting<String> ENGINE_ROLE = Setting.of(
            "planner",
            "role",
            "prefill, decode or both",
            "both",
            "The role that every engine should have.",
            SettingKeys::engineRole);
    static final Setting<Duration> PLANNER_DWELL = Setting.millis(
            "planner",
            "dwell-ms",
            MINUTE_MILLIS,
            0,
            60 * MINUTE_MILLIS,
            "How long a model must lack engines before an engine is moved to it.");
    static final Setting<Duration> PLANNER_LEASE = Setting.millis(
            "planner",
            "lease-ms",
            10_000,
            1_000,
            10 * MINUTE_MILLIS,
            "How long the planner's lease lasts; must be the same on all hosts of a zone.");
    static final Setting<ImmutableList<TargetId>> UNFENCED_ENGINES = Setting.list(
            "planner",
            "unfenced-engines",
            "list of target ids",
            "Engines that ignore the fencing number of an order.",
            TargetId::of);
    static final Setting<ImmutableList<RepeatableCall>> REPEATABLE_CALLS = Setting.list(
            "service NAME",
            "repeatable",
            "list of METHOD /path",
            "Calls that may be repeated; all others may not.",
            RepeatableCall::parse);
    static final Setting<Endpoint> TARGET_ENDPOINT =
            Setting.required("target NAME", "endpoint", ENDPOINT_TYPE, "Where the target listens.", Endpoint::parse);
    static final Setting<AvailabilityZoneId> TARGET_ZONE =
            Setting.required("target NAME", "zone", "id", "The target's availability zone.", AvailabilityZoneId::of);
    static final Setting<String> TARGET_SERVICE = Setting.text(
            "target NAME",
            "service",
            "id",
            Optional.of(""),
            "The plain service that the target offers; empty for an engine.");

    private static final ImmutableList<Setting<?>> ALL = ImmutableList.of(
            HOST_ID,
            HOST_ZONE,
            IO_THREADS,
            CALLERS_ENDPOINT,
            MAX_CONNECTIONS,
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            MAX_BUFFERED_BYTES,
            IDLE_TIMEOUT,
            RECEIVE_TIMEOUT,
            ADMIN_ENDPOINT,
            ADMIN_TOKEN,
            PEERS_ENDPOINT,
            PEERS_KEY,
            PEERS_SEEDS,
            TABLE_ENDPOINT,
            OBJECT_STORE_ENDPOINT,
            HOST_LIST_ENDPOINT,
            WEIGHT_STORE_ENDPOINT,
            PLATFORM_TIMEOUT,
            MAX_REQUESTS,
            RING_CAPACITY,
            GRANT_TIMEOUT,
            DRAIN_GRACE,
            MAX_ORGANISATIONS,
            PLANNER_MODELS,
            MODELS_PER_ENGINE,
            ENGINE_ROLE,
            PLANNER_DWELL,
            PLANNER_LEASE,
            UNFENCED_ENGINES,
            REPEATABLE_CALLS,
            TARGET_ENDPOINT,
            TARGET_ZONE,
            TARGET_SERVICE);

    private SettingKeys() {}

    private static String engineRole(String text) {
        checkArgument(ENGINE_ROLES.contains(text), "not one of %s: \"%s\"", ENGINE_ROLES, text);
        return text;
    }

    /** Returns all keys in the order in which they are printed. */
    public static ImmutableList<Setting<?>> all() {
        return ALL;
    }
}
