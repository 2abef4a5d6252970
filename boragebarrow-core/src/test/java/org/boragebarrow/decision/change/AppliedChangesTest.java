package org.boragebarrow.decision.change;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class AppliedChangesTest {
    private final AppliedChanges applied = new AppliedChanges();

    @Example
    void changesAfterAGapAreAppliedOnlyOnceItIsFilled() {
        applied.apply(ImmutableList.of(change(1), change(3)));
        assertThat(applied.number()).isEqualTo(1);
        applied.apply(ImmutableList.of(change(3), change(2)));
        assertThat(applied.number()).isEqualTo(3);
    }

    @Example
    void anOlderStateIsNotAdopted() {
        applied.adopt(stateOf(5));
        applied.adopt(stateOf(3));
        assertThat(applied.state()).isEqualTo(stateOf(5));
    }

    @Example
    void aPeerThatLacksMoreThanTheRetainedChangesReceivesTheFullState() {
        applied.adopt(stateOf(5));
        applied.apply(ImmutableList.of(change(6)));
        assertThat(applied.after(4, 10).state()).hasValue(stateOf(6));
        assertThat(applied.after(5, 10).changes()).containsExactly(change(6));
    }

    @Example
    void twoDifferentChangesWithTheSameNumberAreRejected() {
        applied.apply(ImmutableList.of(change(1)));
        Change other = new Change(1, "other", Changes.deletedPlan("kalibrasi"));
        try {
            applied.apply(ImmutableList.of(other));
        } catch (IllegalStateException e) {
            assertThat(e).hasMessageThat().contains("two different changes have the same number");
            return;
        }
        throw new AssertionError("accepted");
    }

    private static Change change(long number) {
        return new Change(number, "id-" + number, Changes.allowance("gold", (int) number));
    }

    private static ChangeState stateOf(long number) {
        ChangeState state = ChangeState.empty();
        for (long i = 1; i <= number; i++) {
            state = state.apply(change(i));
        }
        return state;
    }
}
