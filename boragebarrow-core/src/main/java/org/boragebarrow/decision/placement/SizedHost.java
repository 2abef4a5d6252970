package org.boragebarrow.decision.placement;

import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A host and its processor.
 *
 * @param centicores hundredths of a core, 0 where the host does not tell
 */
public record SizedHost(HostId id, int centicores) {
    public SizedHost {
        checkNotNull(id);
        checkArgument(centicores >= 0, "negative size: %s", centicores);
    }
}
