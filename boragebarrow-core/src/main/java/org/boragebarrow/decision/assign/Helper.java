package org.boragebarrow.decision.assign;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A target that reads a part of a prompt for another one.
 *
 * @param storedTokens tokens of the prompt's memory that it keeps until the answer ended, which have to be reserved; 0
 *     where the other target keeps all
 */
public record Helper(FleetTarget target, long storedTokens) {
    public Helper {
        checkNotNull(target);
        checkArgument(storedTokens >= 0, "negative tokens: %s", storedTokens);
    }

    /** Returns the helper without what the fleet says of its target. */
    public Ref ref() {
        return new Ref(target.id(), storedTokens);
    }

    /** A helper as hosts tell one another of it. */
    public record Ref(TargetId target, long storedTokens) {}
}
