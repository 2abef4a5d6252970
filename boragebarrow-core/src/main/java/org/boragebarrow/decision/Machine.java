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
     * Applies one event and returns what must be done, in order.
     *
     * @param nowNanos the owner's monotonic clock; never goes back between calls
     */
    ImmutableList<F> apply(E event, long nowNanos);
}
