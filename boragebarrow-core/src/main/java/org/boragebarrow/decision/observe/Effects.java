package org.boragebarrow.decision.observe;

import com.google.common.collect.ImmutableList;

/** Collects the effects of one event, in order. */
final class Effects {
    private final ImmutableList.Builder<ObserveEffect> effects = ImmutableList.builder();

    void add(ObserveEffect effect) {
        effects.add(effect);
    }

    ImmutableList<ObserveEffect> build() {
        return effects.build();
    }
}
