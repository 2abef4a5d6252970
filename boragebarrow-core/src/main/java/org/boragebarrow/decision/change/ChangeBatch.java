package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What one host hands to another that lacks changes.
 *
 * @param state the whole state, when the changes that lead up to {@code changes} are no longer kept singly
 * @param changes the changes that follow, in order
 */
public record ChangeBatch(Optional<ChangeState> state, ImmutableList<Change> changes) {
    public ChangeBatch {
        checkNotNull(state);
        checkNotNull(changes);
    }
}
