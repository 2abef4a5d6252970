package org.boragebarrow.decision.placement;

import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A host and its processor size.
 *
 * @param centicores hundredths of a core; 0 if the host does not report its size
 */
public record SizedHost(HostId id, int centicores) {
    public SizedHost {
        checkNotNull(id);
        checkArgument(centicores >= 0, "centicores must not be negative: %s", centicores);
    }
}
