package org.boragebarrow.decision.fleet;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** What a target announces about itself in an answer, beside the answer to the request. */
public sealed interface TargetSignal {
    /** The target is leaving and wants no new work, although its entry may not say so yet. */
    record Leaving() implements TargetSignal {}

    /** The target has turned the request away and wants no requests of this host for some time. */
    record QuietRequested(Duration time) implements TargetSignal {
        public QuietRequested {
            checkArgument(!time.isNegative(), "negative time: %s", time);
        }
    }

    /** The target has turned the request away and states a time that cannot be used. */
    record InvalidTime(String value) implements TargetSignal {
        public InvalidTime {
            checkNotNull(value);
        }
    }
}
