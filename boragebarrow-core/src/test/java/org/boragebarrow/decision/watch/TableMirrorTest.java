package org.boragebarrow.decision.watch;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.port.WatchedTable.VersionedRows;
import org.boragebarrow.port.WatchedTable.Row;

import static com.google.common.truth.Truth.assertThat;

class TableMirrorTest {
    private final TableMirror mirror = new TableMirror(2);

    private static Row row(String key, long version) {
        return new Row(key, new byte[0], version, false);
    }

    private static Row gone(String key, long version) {
        return new Row(key, new byte[0], version, true);
    }

    private static VersionedRows reading(long version, Row... rows) {
        return new VersionedRows(ImmutableList.copyOf(rows), version);
    }

    private ImmutableList<String> keysSince(long after) {
        return mirror.since(after).orElseThrow().rows().stream().map(Row::key).collect(ImmutableList.toImmutableList());
    }

    @Example
    void nothingIsToldBeforeTheFirstReading() {
        assertThat(mirror.since(0)).isEmpty();
        assertThat(mirror.since(100)).isEmpty();
    }

    @Example
    void rowsThatChangedLaterAreToldOldestFirst() {
        mirror.replace(reading(5, row("a", 3), row("b", 5)));
        mirror.add(reading(8, row("b", 8), row("c", 7)));

        assertThat(keysSince(5)).containsExactly("c", "b").inOrder();
        assertThat(keysSince(7)).containsExactly("b");
        assertThat(mirror.since(7).orElseThrow().version()).isEqualTo(8);
    }

    @Example
    void whoKnowsLessThanTheFirstReadingHasToAskTheStore() {
        mirror.replace(reading(5, row("a", 3)));

        // The first read does not return a row that was removed between versions 4 and 5.
        assertThat(mirror.since(4)).isEmpty();
    }

    @Example
    void removedRowsAreToldUntilTooManyWereRemovedSince() {
        mirror.replace(reading(5, row("a", 1), row("b", 2), row("c", 3)));
        mirror.add(reading(6, gone("a", 6)));
        assertThat(keysSince(5)).containsExactly("a");

        mirror.add(reading(8, gone("b", 7), gone("c", 8)));

        assertThat(mirror.since(5)).isEmpty();
        assertThat(keysSince(6)).containsExactly("b", "c").inOrder();
    }

    @Example
    void rowsOlderThanThoseKnownAreIgnored() {
        mirror.replace(reading(5, row("a", 5)));
        mirror.replace(reading(4, row("a", 3)));
        mirror.add(reading(4, gone("a", 4)));

        assertThat(mirror.version()).isEqualTo(5);
        assertThat(keysSince(5)).isEmpty();
        mirror.add(reading(6));
        assertThat(mirror.version()).isEqualTo(6);
    }
}
