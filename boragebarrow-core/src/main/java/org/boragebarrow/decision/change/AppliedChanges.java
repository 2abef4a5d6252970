package org.boragebarrow.decision.change;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/** The state that the applied changes made and the latest of these changes; only ever moves forward. */
final class AppliedChanges {
    static final int MAX_KEPT = 4_096;

    private final Deque<Change> kept = new ArrayDeque<>();
    private ChangeState state = ChangeState.empty();

    ChangeState state() {
        return state;
    }

    long number() {
        return state.number();
    }

    /** Applies the changes that follow without a gap; ignores known ones and those after a gap. */
    void apply(List<Change> changes) {
        for (Change change : ImmutableList.sortedCopyOf(Comparator.comparingLong(Change::number), changes)) {
            if (change.number() > number() + 1) {
                return;
            }
            if (change.number() == number() + 1) {
                state = state.apply(change);
                keep(change);
            } else {
                checkSame(change);
            }
        }
    }

    /** Takes the state over if it is later. */
    void adopt(ChangeState later) {
        if (later.number() > number()) {
            state = later;
            kept.clear();
        }
    }

    /** Returns what a host lacks that has applied the given number. */
    ChangeBatch after(long number, int max) {
        checkArgument(max > 0, "max must be positive: %s", max);
        if (number >= number()) {
            return new ChangeBatch(Optional.empty(), ImmutableList.of());
        }
        if (kept.isEmpty() || kept.getFirst().number() > number + 1) {
            return new ChangeBatch(Optional.of(state), ImmutableList.of());
        }
        ImmutableList<Change> next = kept.stream()
                .filter(change -> change.number() > number)
                .limit(max)
                .collect(ImmutableList.toImmutableList());
        return new ChangeBatch(Optional.empty(), next);
    }

    private void keep(Change change) {
        kept.addLast(change);
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
    }

    private void checkSame(Change change) {
        for (Change each : kept) {
            checkState(each.number() != change.number() || each.equals(change), "two changes: %s and %s", each, change);
        }
    }
}
