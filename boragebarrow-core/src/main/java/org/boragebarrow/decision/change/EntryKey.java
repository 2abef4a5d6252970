package org.boragebarrow.decision.change;

import org.boragebarrow.model.Ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Names one entry that operators edit. */
public record EntryKey(Kind kind, String id) implements Comparable<EntryKey> {
    public EntryKey {
        checkNotNull(kind);
        checkArgument(Ids.isValid(id), "not an id: \"%s\"", id);
    }

    /** What an entry describes. */
    public enum Kind {
        /** The plan of an organisation. */
        PLAN,
        /** The allowance of a plan. */
        ALLOWANCE,
        /** The switch of a target. */
        SWITCH
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
