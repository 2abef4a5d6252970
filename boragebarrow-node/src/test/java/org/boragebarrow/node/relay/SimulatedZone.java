package org.boragebarrow.node.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Bytes;
import io.netty.channel.embedded.EmbeddedChannel;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.watch.SharedTable;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.node.watch.TableSharing;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

/**
 * The hosts of one availability zone that follow a table of one row, over links of a given rate, in simulated time.
 *
 * <p>A host's link carries one message after another in each direction, so that a large message delays later ones.
 */
final class SimulatedZone {
    static final String TABLE = "table";

    private static final long STEP_MILLIS = 5;
    private static final double STORE_LATENCY_MILLIS = 4;
    private static final double HOP_LATENCY_MILLIS = 0.2;

    /** Time that a store call may take in addition to its wait, as in the platform's client. */
    private static final Duration CALL_TIME = Duration.ofMillis(1_200);

    /** The store sends values in base64, which is longer by this factor. */
    private static final double BASE64_FACTOR = 4.0 / 3;

    private static final int HEAD_BYTES = 200;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Map<HostId, SimulatedHost> hosts = new LinkedHashMap<>();
    private final Random random;
    private final double bytesPerMilli;
    private final Map<Long, Long> writtenAt = new LinkedHashMap<>();
    private long nowMillis = 100_000;
    private Row row;
    private int storeCalls;

    SimulatedZone(int size, double megabits, long seed) {
        channel.freezeTime();
        random = new Random(seed);
        bytesPerMilli = megabits * 1e6 / 8 / 1_000;
        row = new Row("row", new byte[10], 1, false);
        for (int i = 0; i < size; i++) {
            HostId id = HostId.of("host-" + i);
            hosts.put(id, new SimulatedHost(id));
        }
        ImmutableList<SizedHost> all = sizedHosts();
        hosts.values().forEach(host -> host.start(all));
        advance(Duration.ofSeconds(5));
    }

    ImmutableList<SimulatedHost> hosts() {
        return ImmutableList.copyOf(hosts.values());
    }

    ImmutableList<SizedHost> sizedHosts() {
        return hosts.keySet().stream().map(host -> new SizedHost(host, 36)).collect(ImmutableList.toImmutableList());
    }

    int storeCalls() {
        return storeCalls;
    }

    /** Writes a new random value of the row; the store acknowledges the write at once. */
    void write(int bytes) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        write(value);
    }

    /** Changes the row's value at its start and inserts some bytes in its middle. */
    void edit() {
        byte[] inserted = new byte[20];
        random.nextBytes(inserted);
        int middle = row.value().length / 2;
        byte[] value = Bytes.concat(
                Arrays.copyOf(row.value(), middle),
                inserted,
                Arrays.copyOfRange(row.value(), middle, row.value().length));
        value[0]++;
        write(value);
    }

    private void write(byte[] value) {
        row = new Row("row", value, row.version() + 1, false);
        writtenAt.put(row.version(), nowMillis);
        hosts.values().forEach(SimulatedHost::answerPendingCalls);
        runTasks();
    }

    void advance(Duration time) {
        for (long passed = 0; passed < time.toMillis(); passed += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            runTasks();
        }
    }

    private void runTasks() {
        for (int i = 0; i < 4; i++) {
            channel.runPendingTasks();
            channel.runScheduledPendingTasks();
        }
    }

    /** Returns the time until the last host received the newest version, or the time so far if one has not. */
    Duration slowestDelivery(long writtenAtMillis) {
        long maxMillis = 0;
        for (SimulatedHost host : hosts.values()) {
            long received = host.receivedAt.getOrDefault(row.version(), nowMillis);
            maxMillis = Math.max(maxMillis, received - writtenAtMillis);
        }
        return Duration.ofMillis(maxMillis);
    }

    /**
     * Returns the longest time that a version took to reach a host without disturbance from the given time before the
     * write until the host had received the version.
     */
    Duration slowestUndisturbedDelivery(Duration undisturbed) {
        long maxMillis = 0;
        for (Map.Entry<Long, Long> written : writtenAt.entrySet()) {
            for (SimulatedHost host : hosts.values()) {
                long received = host.receivedAt(written.getKey());
                if (host.isUndisturbed(written.getValue() - undisturbed.toMillis(), received)) {
                    maxMillis = Math.max(maxMillis, received - written.getValue());
                }
            }
        }
        return Duration.ofMillis(maxMillis);
    }

    /** Returns the longest time that a message waited for the uplink of a host. */
    Duration maxUplinkWait() {
        return Duration.ofMillis((long) hosts.values().stream()
                .mapToDouble(host -> host.maxUplinkWait)
                .max()
                .orElse(0));
    }

    long nowMillis() {
        return nowMillis;
    }

    /** How the store handles a host's calls. */
    enum Access {
        SERVED,
        REFUSED,
        UNRESPONSIVE
    }

    final class SimulatedHost implements SharedTable.Peers, WatchedTable, TableFollower.Listener {
        private final HostId id;
        private final SharedTable table;
        private final TableSharing sharing;
        private final TableFollower follower;
        private final Map<Long, Long> receivedAt = new HashMap<>();
        private final List<PendingCall> pendingCalls = new ArrayList<>();
        private final List<Long> disturbanceTimes = new ArrayList<>();
        private Access access = Access.SERVED;
        private boolean isolatedFromHosts;
        private double uplinkFreeAt;
        private double downlinkFreeAt;
        private double maxUplinkWait;

        private record PendingCall(long after, CompletableFuture<VersionedRows> answer) {}

        SimulatedHost(HostId id) {
            this.id = id;
            Ticker ticker = new Ticker() {
                @Override
                public long read() {
                    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
                }
            };
            this.table = new SharedTable(this, id, channel.eventLoop(), ticker, this);
            this.sharing = new TableSharing(ImmutableList.of(table));
            Backoff backoff = new Backoff(StoreFollowers.MIN_RETRY_DELAY, StoreFollowers.MAX_RETRY_DELAY, random);
            this.follower =
                    new TableFollower(channel.eventLoop(), table, backoff, StoreFollowers.CONFIGURATION_TIMING, this);
        }

        HostId id() {
            return id;
        }

        void start(ImmutableList<SizedHost> all) {
            sharing.setHosts(all);
            channel.eventLoop().schedule(follower::start, random.nextInt(300), TimeUnit.MILLISECONDS);
        }

        void access(Access changed) {
            access = changed;
            disturbanceTimes.add(nowMillis);
        }

        boolean isDisturbed() {
            return access != Access.SERVED || isolatedFromHosts;
        }

        private boolean isUndisturbed(long from, long until) {
            return !isDisturbed() && disturbanceTimes.stream().noneMatch(at -> at >= from && at <= until);
        }

        /** Returns when the host received the version or a later one, or the current time if it has not. */
        private long receivedAt(long version) {
            return receivedAt.entrySet().stream()
                    .filter(received -> received.getKey() >= version)
                    .mapToLong(Map.Entry::getValue)
                    .min()
                    .orElse(nowMillis);
        }

        /** Sets whether all messages to and from other hosts are dropped. */
        void isolatedFromHosts(boolean dropped) {
            isolatedFromHosts = dropped;
            disturbanceTimes.add(nowMillis);
        }

        @Override
        public void send(HostId to, Envelope message) {
            SimulatedHost host = hosts.get(to);
            int bytes = message.getSerializedSize();
            scheduleAt(
                    occupyUplink(bytes) + HOP_LATENCY_MILLIS,
                    () -> host.download(bytes, () -> {
                        if (!isolatedFromHosts && !host.isolatedFromHosts) {
                            host.sharing.receive(id, message);
                        }
                    }));
        }

        private double occupyUplink(int bytes) {
            double start = Math.max(uplinkFreeAt, nowMillis);
            maxUplinkWait = Math.max(maxUplinkWait, start - nowMillis);
            uplinkFreeAt = start + bytes / bytesPerMilli;
            return uplinkFreeAt;
        }

        /** Runs the action once the given number of bytes, arriving now, have passed the host's downlink. */
        private void download(double bytes, Runnable action) {
            downlinkFreeAt = Math.max(downlinkFreeAt, nowMillis) + bytes / bytesPerMilli;
            scheduleAt(downlinkFreeAt, action);
        }

        private void scheduleAt(double atMillis, Runnable action) {
            long delay = Math.max(0, (long) Math.ceil(atMillis - nowMillis));
            channel.eventLoop().schedule(action, delay, TimeUnit.MILLISECONDS);
        }

        @Override
        public void onChangesAccepted(HostId host, VersionedRows changes, Duration elapsed, Duration age) {}

        @Override
        public void onPeerExcluded(HostId host, Duration elapsed, String reason) {}

        @Override
        public String name() {
            return TABLE;
        }

        @Override
        public CompletableFuture<VersionedRows> read() {
            return changes(StorePosition.START, Duration.ZERO);
        }

        @Override
        public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
            CompletableFuture<VersionedRows> answer = new CompletableFuture<>();
            storeCalls++;
            scheduleAt(
                    nowMillis + wait.plus(CALL_TIME).toMillis(),
                    () -> answer.completeExceptionally(new IOException("store call timed out")));
            scheduleAt(
                    occupyUplink(HEAD_BYTES) + STORE_LATENCY_MILLIS,
                    () -> receiveCall(new PendingCall(after.version(), answer), wait));
            return answer;
        }

        private void receiveCall(PendingCall call, Duration wait) {
            if (access == Access.REFUSED) {
                call.answer().completeExceptionally(new IOException("store refused the call"));
            } else if (access == Access.SERVED) {
                pendingCalls.add(call);
                answerPendingCalls();
                scheduleAt(nowMillis + wait.toMillis(), () -> answer(call));
            }
        }

        /** Answers the pending calls for which there is a change. */
        void answerPendingCalls() {
            List.copyOf(pendingCalls).stream()
                    .filter(call -> call.after() < row.version())
                    .forEach(this::answer);
        }

        private void answer(PendingCall call) {
            if (!pendingCalls.remove(call) || access != Access.SERVED) {
                return;
            }
            ImmutableList<Row> changed = call.after() < row.version() ? ImmutableList.of(row) : ImmutableList.of();
            VersionedRows response = new VersionedRows(changed, row.version());
            double bytes = HEAD_BYTES + response.bytes() * BASE64_FACTOR;
            scheduleAt(
                    nowMillis + STORE_LATENCY_MILLIS,
                    () -> download(bytes, () -> call.answer().complete(response)));
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
            throw new UnsupportedOperationException("simulated hosts only read the table");
        }

        @Override
        public void onFullRead(VersionedRows snapshot) {
            onChanges(snapshot);
        }

        @Override
        public void onChanges(VersionedRows changes) {
            for (Row changed : changes.rows()) {
                if (changed.version() == row.version() && !Arrays.equals(changed.value(), row.value())) {
                    throw new IllegalStateException(id + " received another value of version " + changed.version());
                }
                receivedAt.putIfAbsent(changed.version(), nowMillis);
            }
        }

        @Override
        public void onUnavailable(String reason) {}

        @Override
        public void onAvailable() {}
    }
}
