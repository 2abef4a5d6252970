package org.boragebarrow.decision.change;

import java.util.Locale;

/** Static methods and constants for the keys of the table rows that hold the change log. */
final class ChangeRows {
    /** The key of the row that holds the number of the last change. */
    static final String HEAD = "change-head";

    /** The key of the row that holds the number of the latest snapshot and the number of its parts. */
    static final String SNAPSHOT_POINTER = "change-snapshot";

    /** The key prefix of all changes. */
    static final String CHANGE_PREFIX = "change/";

    /** The key prefix of the parts of all snapshots. */
    static final String SNAPSHOT_PART_PREFIX = "change-snapshot-part/";

    /** The number of changes that share a scan prefix. */
    static final int BLOCK_SIZE = 100;

    private static final int DIGITS = 19;
    private static final int BLOCK_DIGITS = 2;

    private ChangeRows() {}

    static String change(long number) {
        return CHANGE_PREFIX + padded(number);
    }

    /** Returns the key prefix of the block of changes that contains the given one. */
    static String blockPrefix(long number) {
        String key = change(number);
        return key.substring(0, key.length() - BLOCK_DIGITS);
    }

    static String changeId(String id) {
        return "change-id/" + id;
    }

    static String entry(EntryKey key) {
        return "change-entry/" + key.kind().name().toLowerCase(Locale.ROOT) + "/" + key.id();
    }

    /** Returns the key prefix of all parts of one snapshot. */
    static String snapshotPartsPrefix(long number) {
        return SNAPSHOT_PART_PREFIX + padded(number) + "/";
    }

    static String snapshotPart(long number, int part) {
        return snapshotPartsPrefix(number) + padded(part);
    }

    private static String padded(long number) {
        String digits = Long.toString(number);
        return "0".repeat(DIGITS - digits.length()) + digits;
    }
}
