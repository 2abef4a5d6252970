package org.boragebarrow.decision.table;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A call of the table service that a machine requests. */
public sealed interface TableCall {
    /** Reads one row. */
    record Get(String key) implements TableCall {
        public Get {
            checkNotNull(key);
        }
    }

    /** Reads up to {@code limit} rows whose keys start with a prefix, in the order of their keys. */
    record Scan(String prefix, int limit) implements TableCall {
        public Scan {
            checkNotNull(prefix);
            checkArgument(limit > 0, "limit must be positive: %s", limit);
        }
    }

    /**
     * Writes rows in one transaction if all conditions hold.
     *
     * <p>A commit without writes verifies that all conditions held at the same moment, which separate reads cannot.
     */
    record Commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes) implements TableCall {
        public Commit {
            checkNotNull(conditions);
            checkNotNull(writes);
        }
    }
}
