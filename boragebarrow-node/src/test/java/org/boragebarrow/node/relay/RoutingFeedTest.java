package org.boragebarrow.node.relay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.decision.evacuation.EmptiedZones;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.routing.RoutingTableHolder;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.truth.Truth.assertThat;

class RoutingFeedTest {
    private final EmptiedZones emptied = new EmptiedZones();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(new PrintStream(logged, true, StandardCharsets.UTF_8));
    private int changes;
    private final RoutingFeed feed =
            new RoutingFeed(new ZoneDecoders(), new RoutingTableHolder(), emptied, log, () -> 7, new Counter());

    /** Decodes only rows that empty the zone of their key. */
    private static final class ZoneDecoders implements Decoders {
        @Override
        public Optional<RoutingTable> routing(Row row) {
            return Optional.empty();
        }

        @Override
        public Optional<AvailabilityZoneId> emptiedZone(Row row) {
            return Optional.of(AvailabilityZoneId.of(row.key()));
        }

        @Override
        public FleetTarget target(Row row) {
            throw new UnsupportedOperationException();
        }
    }

    private final class Counter implements RoutingFeed.Listener {
        @Override
        public void onNewVersion(RoutingTable table) {}

        @Override
        public void onZonesChanged() {
            changes++;
        }
    }

    private static VersionedRows rows(long version, String... keys) {
        return new VersionedRows(
                Arrays.stream(keys)
                        .map(key -> new Row(key.replace("-", ""), new byte[0], version, key.startsWith("-")))
                        .collect(ImmutableList.toImmutableList()),
                version);
    }

    private Iterable<String> zones() {
        return emptied.zones().stream().map(AvailabilityZoneId::value).toList();
    }

    @Example
    void zonesAreEmptiedAndTakenBackByRows() {
        feed.onFullRead(rows(1));
        feed.onChanges(rows(2, "a", "b"));
        feed.onChanges(rows(3, "a"));
        feed.onChanges(rows(4, "-b"));

        assertThat(zones()).containsExactly("a");
        assertThat(changes).isEqualTo(3);
    }

    @Example
    void whatWasKnownStaysKnownThroughAnOutageAndALostHistory() {
        feed.onFullRead(rows(1, "a"));
        feed.onUnavailable("silent");
        assertThat(zones()).containsExactly("a");
        feed.onAvailable();
        feed.onFullRead(rows(9, "a"));
        assertThat(changes).isEqualTo(1);
        feed.onFullRead(rows(12, "b"));

        assertThat(zones()).containsExactly("b");
    }

    @Example
    void aRowWhoseKeyNamesNoZoneIsLoggedAndChangesNothing() {
        feed.onChanges(rows(2, "a", "no zone"));
        log.close();

        assertThat(zones()).containsExactly("a");
        assertThat(logged.toString(StandardCharsets.UTF_8)).contains("no zone");
    }
}
