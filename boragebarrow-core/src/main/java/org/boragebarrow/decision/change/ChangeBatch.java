package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The changes that one host sends to another that lacks them.
 *
 * @param state the full state, if the changes that precede {@code changes} are no longer retained individually
 * @param changes the changes that follow, in ascending order
 */
public record ChangeBatch(Optional<ChangeState> state, ImmutableList<Change> changes) {
    public ChangeBatch {
        checkNotNull(state);
        checkNotNull(changes);
    }
}
