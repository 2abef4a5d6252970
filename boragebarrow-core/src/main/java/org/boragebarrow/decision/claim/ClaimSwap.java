package org.boragebarrow.decision.claim;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A compare-and-swap of one row: replaces it if it is at an exact version.
 *
 * <p>Because of the version it is safe to apply a swap late, twice or by several writers: it takes effect at most once,
 * and never after the row has been changed.
 *
 * @param expectedVersion the expected version; 0 means that the row must be absent
 */
public record ClaimSwap(String key, long expectedVersion, String value) {
    public ClaimSwap {
        checkNotNull(key);
        checkArgument(expectedVersion >= 0, "version must not be negative: %s", expectedVersion);
        checkNotNull(value);
    }

    /** Returns a transaction that applies all swaps or none; their keys must be distinct. */
    public static TableCall.Commit commit(ImmutableList<ClaimSwap> swaps) {
        ImmutableList.Builder<Condition> conditions = ImmutableList.builder();
        ImmutableList.Builder<Write> writes = ImmutableList.builder();
        for (ClaimSwap swap : swaps) {
            conditions.add(new Condition(swap.key, swap.expectedVersion));
            writes.add(Write.put(swap.key, swap.value));
        }
        return new TableCall.Commit(conditions.build(), writes.build());
    }
}
