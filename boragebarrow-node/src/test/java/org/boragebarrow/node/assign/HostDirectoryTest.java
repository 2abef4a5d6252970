package org.boragebarrow.node.assign;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

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
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.truth.Truth.assertThat;

class HostDirectoryTest {
    private static final Row KEY = new Row("key", new byte[32], 1, false);

    private final List<String> written = new ArrayList<>();

    private static HostRecord host(long incarnation, String address) {
        return new HostRecord(
                HostIncarnation.of(HostId.of("host-1"), IncarnationNumber.of(incarnation)),
                AvailabilityZoneId.of("zone-1"),
                Endpoint.of(address, 7_340),
                36);
    }

    /** Starts a host that finds the key and a row of an earlier incarnation in the table. */
    private void start(HostRecord self, HostRecord earlier) {
        DecisionLog log =
                new DecisionLog(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
        HostDirectory directory =
                new HostDirectory(self, new RecordingTable(), new EmbeddedChannel().eventLoop(), log, new Listener());
        Row row = new Row("host/host-1", earlier.toBytes(), 2, false);
        directory.onFullRead(new VersionedRows(ImmutableList.of(KEY, row), 2));
        log.close();
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
        public CompletableFuture<VersionedRows> changes(long after, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, OptionalLong expected) {
            written.add(key);
            return CompletableFuture.completedFuture(true);
        }
    }

    private static final class Listener implements HostDirectory.Listener {
        @Override
        public void onKey(PeerKey key) {}

        @Override
        public void onHosts(ImmutableMap<HostId, HostRecord> hosts) {}
    }
}
