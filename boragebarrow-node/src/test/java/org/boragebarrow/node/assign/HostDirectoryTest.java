package org.boragebarrow.node.assign;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.peer.link.PeerKey;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.truth.Truth.assertThat;

class HostDirectoryTest {
    private static final Row KEY = new Row("key", new byte[32], 1, false);

    private final List<String> written = new ArrayList<>();
    private final List<byte[]> keys = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private int knownHosts;
    private int receivedKeys;

    private static HostRecord host(long incarnation, String address) {
        return new HostRecord(
                HostIncarnation.of(HostId.of("host-1"), IncarnationNumber.of(incarnation)),
                AvailabilityZoneId.of("zone-1"),
                Endpoint.of(address, 7_340),
                36);
    }

    /** Starts a host that finds the key and a row of an earlier incarnation in the table. */
    private HostDirectory start(HostRecord self, HostRecord earlier) {
        DecisionLog log =
                new DecisionLog(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
        HostDirectory directory =
                new HostDirectory(self, new RecordingTable(), channel.eventLoop(), log, new Listener());
        Row row = new Row("host/host-1", earlier.toBytes(), 2, false);
        directory.onFullRead(new VersionedRows(ImmutableList.of(KEY, row), 2));
        log.close();
        return directory;
    }

    private void readCopy(HostDirectory directory, Row... rows) {
        directory.onFullRead(new VersionedRows(ImmutableList.copyOf(rows), new StorePosition(1, 1)));
        channel.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Guards against hosts and a key of their links that are lost with the copy. */
    @Example
    void whatAnOlderCopyLacksIsWrittenAgainAndRemembered() {
        channel.freezeTime();
        HostDirectory directory = start(host(2, "10.0.0.1"), host(1, "10.0.0.1"));
        readCopy(directory);

        assertThat(written).containsExactly("key", "host/host-1").inOrder();
        assertThat(keys.get(0)).isEqualTo(KEY.value());
        assertThat(knownHosts).isEqualTo(1);
    }

    @Example
    void nothingIsWrittenIfTheCopyHasAll() {
        channel.freezeTime();
        HostDirectory directory = start(host(2, "10.0.0.1"), host(1, "10.0.0.1"));
        readCopy(directory, KEY, new Row("host/host-1", host(1, "10.0.0.1").toBytes(), 1, false));

        assertThat(written).isEmpty();
    }

    /** Guards against hosts with two keys that never link again. */
    @Example
    void aKeyThatAnotherHostWroteMeanwhileIsAdopted() {
        channel.freezeTime();
        HostDirectory directory = start(host(2, "10.0.0.1"), host(1, "10.0.0.1"));
        byte[] other = new byte[32];
        other[0] = 1;
        readCopy(
                directory,
                new Row("key", other, 1, false),
                new Row("host/host-1", host(1, "10.0.0.1").toBytes(), 1, false));

        assertThat(written).isEmpty();
        assertThat(receivedKeys).isEqualTo(2);
    }

    @Example
    void aHostThatStartsAgainAtItsEndpointDoesNotWriteItsRow() {
        start(host(2, "10.0.0.1"), host(1, "10.0.0.1"));

        assertThat(written).isEmpty();
    }

    @Example
    void aHostThatStartsAgainAtAnotherEndpointWritesItsRow() {
        start(host(2, "10.0.0.9"), host(1, "10.0.0.1"));

        assertThat(written).containsExactly("host/host-1");
    }

    private final class RecordingTable implements WatchedTable {
        @Override
        public String name() {
            return "hosts";
        }

        @Override
        public CompletableFuture<VersionedRows> read() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected) {
            written.add(key);
            keys.add(value);
            return CompletableFuture.completedFuture(true);
        }
    }

    private final class Listener implements HostDirectory.Listener {
        @Override
        public void onKey(PeerKey key) {
            receivedKeys++;
        }

        @Override
        public void onHosts(ImmutableMap<HostId, HostRecord> hosts) {
            knownHosts = hosts.size();
        }
    }
}
