package org.boragebarrow.decision.change;

import org.boragebarrow.model.Ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Identifies one entry that operators edit. */
public record EntryKey(Kind kind, String id) implements Comparable<EntryKey> {
    public EntryKey {
        checkNotNull(kind);
        checkArgument(Ids.isValid(id), "invalid entry id: \"%s\"", id);
    }

    /** The kind of an entry. */
    public enum Kind {
        /** The plan of an organisation. */
        PLAN,
        /** The allowance of a plan. */
        ALLOWANCE,
        /** The start or stop switch of a target. */
        SWITCH,
        /** A zone that operators have emptied. */
        ZONE
    }

    @Override
    public int compareTo(EntryKey other) {
        int order = kind.compareTo(other.kind);
        return order != 0 ? order : id.compareTo(other.id);
    }

    @Override
    public String toString() {
        return kind + "/" + id;
    }
}
