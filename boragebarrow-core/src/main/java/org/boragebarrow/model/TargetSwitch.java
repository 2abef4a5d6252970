package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkNotNull;

/** An operator's order that a target takes new work or takes none. */
public record TargetSwitch(TargetId target, boolean started) {
    public TargetSwitch {
        checkNotNull(target);
    }
}
