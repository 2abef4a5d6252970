package org.boragebarrow.decision.watch;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.truth.Truth.assertThat;

class TableMirrorTest {
    private final TableMirror mirror = new TableMirror(2, 4);

    private static Row row(String key, long version) {
        return new Row(key, new byte[0], version, false);
    }

    private static Row tombstone(String key, long version) {
        return new Row(key, new byte[0], version, true);
    }

    private static VersionedRows versionedRows(long version, Row... rows) {
        return new VersionedRows(ImmutableList.copyOf(rows), version);
    }

    private ImmutableList<String> keysSince(long after) {
        return mirror.changesSince(new StorePosition(0, after)).orElseThrow().rows().stream()
                .map(Row::key)
                .collect(ImmutableList.toImmutableList());
    }

    @Example
    void noChangesAreReturnedBeforeTheFirstRead() {
        assertThat(mirror.changesSince(new StorePosition(0, 0))).isEmpty();
        assertThat(mirror.changesSince(new StorePosition(0, 100))).isEmpty();
    }

    @Example
    void laterChangesAreReturnedOldestFirst() {
        mirror.replace(versionedRows(5, row("a", 3), row("b", 5)));
        mirror.applyChanges(versionedRows(8, row("b", 8), row("c", 7)));

        assertThat(keysSince(5)).containsExactly("c", "b").inOrder();
        assertThat(keysSince(7)).containsExactly("b");
        assertThat(mirror.changesSince(new StorePosition(0, 7)).orElseThrow().version())
                .isEqualTo(8);
    }

    @Example
    void noChangesAreReturnedForVersionsBeforeTheFirstRead() {
        mirror.replace(versionedRows(5, row("a", 3)));

        // The first read does not return a row that was removed between versions 4 and 5.
        assertThat(mirror.changesSince(new StorePosition(0, 4))).isEmpty();
    }

    @Example
    void removedRowsAreReturnedUntilTooManyWereRemoved() {
        mirror.replace(versionedRows(5, row("a", 1), row("b", 2), row("c", 3)));
        mirror.applyChanges(versionedRows(6, tombstone("a", 6)));
        assertThat(keysSince(5)).containsExactly("a");

        mirror.applyChanges(versionedRows(8, tombstone("b", 7), tombstone("c", 8)));

        assertThat(mirror.changesSince(new StorePosition(0, 5))).isEmpty();
        assertThat(keysSince(6)).containsExactly("b", "c").inOrder();
    }

    @Example
    void olderRowsAreIgnored() {
        mirror.replace(versionedRows(5, row("a", 5)));
        mirror.replace(versionedRows(4, row("a", 3)));
        mirror.applyChanges(versionedRows(4, tombstone("a", 4)));

        assertThat(mirror.position().version()).isEqualTo(5);
        assertThat(keysSince(5)).isEmpty();
        mirror.applyChanges(versionedRows(6));
        assertThat(mirror.position().version()).isEqualTo(6);
    }

    @Example
    void replacedLargeValuesAreReturnedForTheVersionsAtWhichTheyHeld() {
        mirror.replace(versionedRows(5, new Row("a", new byte[4], 3, false), row("b", 2)));
        mirror.applyChanges(versionedRows(8, new Row("a", new byte[5], 7, false), row("b", 8)));

        assertThat(mirror.rowAsOf("a", 2)).isEmpty();
        assertThat(mirror.rowAsOf("a", 6).orElseThrow().version()).isEqualTo(3);
        assertThat(mirror.rowAsOf("a", 9).orElseThrow().version()).isEqualTo(7);
        assertThat(mirror.rowAsOf("b", 5)).isEmpty();
        for (int version = 10; version < 14; version++) {
            mirror.applyChanges(versionedRows(version, new Row("a", new byte[5], version, false)));
        }
        assertThat(mirror.rowAsOf("a", 7)).isEmpty();
    }

    private static VersionedRows rowsOfEra(long era, long version, Row... rows) {
        return new VersionedRows(ImmutableList.copyOf(rows), new StorePosition(era, version));
    }

    @Example
    void onlyAFullReadBeginsAnotherEraWhateverItsVersion() {
        mirror.replace(rowsOfEra(1, 200, row("a", 150)));
        mirror.applyChanges(rowsOfEra(2, 300, row("b", 300)));
        assertThat(mirror.position()).isEqualTo(new StorePosition(1, 200));

        mirror.replace(rowsOfEra(2, 50, row("a", 40)));
        mirror.applyChanges(rowsOfEra(1, 220, row("c", 220)));

        assertThat(mirror.position()).isEqualTo(new StorePosition(2, 50));
        assertThat(mirror.changesSince(new StorePosition(2, 50)).orElseThrow().rows())
                .isEmpty();
        mirror.replace(rowsOfEra(1, 230));
        assertThat(mirror.position()).isEqualTo(new StorePosition(2, 50));
    }

    @Example
    void aPositionOfAnotherEraCannotBeServed() {
        mirror.replace(rowsOfEra(2, 50, row("a", 40)));

        assertThat(mirror.changesSince(new StorePosition(1, 60))).isEmpty();
        assertThat(mirror.changesSince(new StorePosition(3, 60))).isEmpty();
    }
}
