package org.boragebarrow.decision;

import com.google.common.collect.ImmutableList;

/**
 * A single-writer state machine.
 *
 * <p>Not thread-safe: one thread owns an instance.
 *
 * @param <E> the events, a sealed interface
 * @param <F> the effects, a sealed interface
 */
public interface Machine<E, F> {
    /**
     * Applies one event and returns its effects, in the order in which they have to be carried out.
     *
     * @param nowNanos time of the owner's monotonic clock; must not decrease between calls
     */
    ImmutableList<F> apply(E event, long nowNanos);
}
