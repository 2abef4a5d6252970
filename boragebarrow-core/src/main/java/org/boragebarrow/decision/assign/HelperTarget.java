package org.boragebarrow.decision.assign;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A target that prefills a part of a prompt for the target that answers.
 *
 * @param storedTokens tokens of the prompt's context that it stores until the answer ends and that have to be reserved;
 *     0 if the answering target stores all
 */
public record HelperTarget(FleetTarget target, long storedTokens) {
    public HelperTarget {
        checkNotNull(target);
        checkArgument(storedTokens >= 0, "storedTokens must not be negative: %s", storedTokens);
    }

    /** Returns the id and stored tokens of the helper, without its fleet entry. */
    public Ref ref() {
        return new Ref(target.id(), storedTokens);
    }

    /** A helper as hosts exchange it in messages. */
    public record Ref(TargetId target, long storedTokens) {}
}
