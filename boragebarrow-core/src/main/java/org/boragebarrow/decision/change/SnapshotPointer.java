package org.boragebarrow.decision.change;

import java.util.List;

import com.google.common.base.Splitter;

import static com.google.common.base.Preconditions.checkArgument;

/** Identifies the latest snapshot and the number of parts in which it is stored. */
record SnapshotPointer(long number, int parts) {
    private static final Splitter SPLITTER = Splitter.on('/');

    SnapshotPointer {
        checkArgument(number > 0, "snapshot number must be positive: %s", number);
        checkArgument(parts > 0, "parts must be positive: %s", parts);
    }

    static SnapshotPointer parse(String text) {
        List<String> fields = SPLITTER.splitToList(text);
        checkArgument(fields.size() == 2, "malformed snapshot pointer: \"%s\"", text);
        return new SnapshotPointer(Long.parseLong(fields.get(0)), Integer.parseInt(fields.get(1)));
    }

    @Override
    public String toString() {
        return number + "/" + parts;
    }
}
