package org.boragebarrow.decision.change;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/** The state after the applied changes, and the most recent of these changes. The change number never decreases. */
final class AppliedChanges {
    static final int MAX_RETAINED = 4_096;

    private final Deque<Change> retained = new ArrayDeque<>();
    private ChangeState state = ChangeState.empty();

    ChangeState state() {
        return state;
    }

    long number() {
        return state.number();
    }

    /** Applies the changes that follow without a gap; ignores those already applied and those after a gap. */
    void apply(List<Change> changes) {
        for (Change change : ImmutableList.sortedCopyOf(Comparator.comparingLong(Change::number), changes)) {
            if (change.number() > number() + 1) {
                return;
            }
            if (change.number() == number() + 1) {
                state = state.apply(change);
                retain(change);
            } else {
                checkSame(change);
            }
        }
    }

    /** Replaces the state with the given one if that is later, and discards the retained changes. */
    void adopt(ChangeState later) {
        if (later.number() > number()) {
            state = later;
            retained.clear();
        }
    }

    /**
     * Returns the changes that follow the given number, or the full state if the next change is no longer retained.
     *
     * @param max the maximum number of changes to return
     */
    ChangeBatch after(long number, int max) {
        checkArgument(max > 0, "max must be positive: %s", max);
        if (number >= number()) {
            return new ChangeBatch(Optional.empty(), ImmutableList.of());
        }
        if (retained.isEmpty() || retained.getFirst().number() > number + 1) {
            return new ChangeBatch(Optional.of(state), ImmutableList.of());
        }
        ImmutableList<Change> next = retained.stream()
                .filter(change -> change.number() > number)
                .limit(max)
                .collect(ImmutableList.toImmutableList());
        return new ChangeBatch(Optional.empty(), next);
    }

    private void retain(Change change) {
        retained.addLast(change);
        if (retained.size() > MAX_RETAINED) {
            retained.removeFirst();
        }
    }

    private void checkSame(Change change) {
        for (Change each : retained) {
            checkState(
                    each.number() != change.number() || each.equals(change),
                    "two different changes have the same number: %s and %s",
                    each,
                    change);
        }
    }
}
