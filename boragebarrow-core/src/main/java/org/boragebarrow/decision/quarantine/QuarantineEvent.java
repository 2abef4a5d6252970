package org.boragebarrow.decision.quarantine;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.StorePosition;

/** An event that the {@link Quarantine} handles. Wall times are Unix milliseconds of this host's clock. */
public sealed interface QuarantineEvent {
    /** This host's {@link CrashAttribution} found that a part crashes targets. */
    record Convicted(PartKey key, String reason, long wallMillis) implements QuarantineEvent {}

    /** This host's {@link CrashAttribution} found that a part was quarantined for crashes with another cause. */
    record Exonerated(PartKey key, String reason, long wallMillis) implements QuarantineEvent {}

    /** An operator quarantines a part or lifts its quarantine. */
    record Edited(PartKey key, boolean lifted, String operator, String reason, long wallMillis)
            implements QuarantineEvent {}

    /** Another host announced an entry. */
    record Announced(QuarantineEntry entry) implements QuarantineEvent {}

    /**
     * Rows of the store were read.
     *
     * @param full whether these are all rows
     * @param position where in the history of the store they were read
     */
    record RowsRead(ImmutableList<StoredEntry> rows, boolean full, StorePosition position) implements QuarantineEvent {}

    /** A write ended; whether it took effect is known only once the row is read. */
    record WriteEnded(PartKey key) implements QuarantineEvent {}

    /** The time that the last {@link QuarantineEffect.WakeUp} requested has come. */
    record Ticked(long wallMillis) implements QuarantineEvent {}

    /**
     * A row of the store.
     *
     * @param position the position of the row's last change
     */
    record StoredEntry(QuarantineEntry entry, StorePosition position) {}
}
