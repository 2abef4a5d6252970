package org.boragebarrow.decision.lease;

import java.util.List;

import com.google.common.base.Splitter;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The value of a lease's row.
 *
 * @param epoch the fencing number, incremented at each acquisition
 * @param counter incremented by the holder to show that it is alive
 * @param holder the incarnation of the host that holds the lease, or empty after a release
 */
record LeaseRow(long epoch, long counter, String holder) {
    private static final Splitter SPLITTER = Splitter.on(' ').limit(3);

    static LeaseRow parse(String text) {
        List<String> fields = SPLITTER.splitToList(text);
        checkArgument(fields.size() == 3, "malformed lease row: \"%s\"", text);
        return new LeaseRow(Long.parseLong(fields.get(0)), Long.parseLong(fields.get(1)), fields.get(2));
    }

    static LeaseRow first(HostIncarnation holder) {
        return new LeaseRow(1, 1, holder.toString());
    }

    boolean isHeldBy(HostIncarnation host) {
        return holder.equals(host.toString());
    }

    boolean isReleased() {
        return holder.isEmpty();
    }

    LeaseRow renewed() {
        return new LeaseRow(epoch, counter + 1, holder);
    }

    LeaseRow takenOverBy(HostIncarnation newHolder) {
        return new LeaseRow(epoch + 1, 1, newHolder.toString());
    }

    LeaseRow released() {
        return new LeaseRow(epoch, counter + 1, "");
    }

    @Override
    public String toString() {
        return epoch + " " + counter + " " + holder;
    }
}
