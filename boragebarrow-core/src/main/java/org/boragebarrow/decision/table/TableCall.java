package org.boragebarrow.decision.table;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A call of the table service that a machine wants made. */
public sealed interface TableCall {
    /** Reads one row. */
    record Get(String key) implements TableCall {
        public Get {
            checkNotNull(key);
        }
    }

    /** Reads the first rows with a prefix. */
    record Scan(String prefix, int limit) implements TableCall {
        public Scan {
            checkNotNull(prefix);
            checkArgument(limit > 0, "limit must be positive: %s", limit);
        }
    }

    /**
     * Writes in one transaction.
     *
     * <p>Without writes it proves that all conditions held together at one moment, which reads alone can't.
     */
    record Commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes) implements TableCall {
        public Commit {
            checkNotNull(conditions);
            checkNotNull(writes);
        }
    }
}
