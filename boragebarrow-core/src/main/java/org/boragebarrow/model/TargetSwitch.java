package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkNotNull;

/** An operator's setting that enables or disables a target for new requests. */
public record TargetSwitch(TargetId target, boolean started) {
    public TargetSwitch {
        checkNotNull(target);
    }
}
