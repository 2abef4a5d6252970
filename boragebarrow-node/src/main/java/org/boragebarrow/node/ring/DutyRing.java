package org.boragebarrow.node.ring;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A bounded ring with one consuming thread.
 *
 * <p>Thread-safe. A full ring refuses: the producer decides what that means and never waits.
 *
 * @param <E> the events
 */
public final class DutyRing<E> implements AutoCloseable {
    private static final long SHUTDOWN_SECONDS = 2;
    private static final long RETRY_MILLIS = 10;

    private final String name;
    private final Disruptor<Slot<E>> disruptor;
    private final RingBuffer<Slot<E>> ring;

    private DutyRing(String name, int capacity, Consumer<E> consumer, BiConsumer<String, Throwable> failures) {
        this.name = name;
        this.disruptor = new Disruptor<>(
                Slot<E>::new,
                capacity,
                runnable -> {
                    Thread thread = new Thread(runnable, "duty-" + name);
                    thread.setDaemon(true);
                    return thread;
                },
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        disruptor.setDefaultExceptionHandler(new Failures<>(name, failures));
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> consumer.accept(slot.take()));
        this.ring = disruptor.start();
    }

    /**
     * Starts a ring and its thread.
     *
     * @param capacity the most events that wait; a power of two
     * @param consumer handles each event on the ring's thread; what it throws goes to {@code failures}
     */
    public static <E> DutyRing<E> start(
            String name, int capacity, Consumer<E> consumer, BiConsumer<String, Throwable> failures) {
        checkArgument(Integer.bitCount(capacity) == 1, "capacity must be a power of two: %s", capacity);
        return new DutyRing<>(checkNotNull(name), capacity, checkNotNull(consumer), checkNotNull(failures));
    }

    /** Returns whether there was room for the event. */
    public boolean offer(E event) {
        checkNotNull(event);
        return ring.tryPublishEvent((slot, sequence, value) -> slot.event = value, event);
    }

    /** Hands over an event that must not be lost: a full ring is tried again a little later, without blocking. */
    public void offerSurely(E event) {
        if (!offer(event)) {
            CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(() -> offerSurely(event));
        }
    }

    /** Returns the name of the duty. */
    public String name() {
        return name;
    }

    /** Returns the number of events that wait. */
    public long waiting() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /** Handles what waits, for a bounded time, and ends the thread. */
    @Override
    public void close() {
        try {
            drain();
            disruptor.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            disruptor.halt();
        }
    }

    /** Waits until all events are handled; the library's own shutdown skips a consumer whose thread has not run yet. */
    private void drain() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SHUTDOWN_SECONDS);
        while (waiting() > 0 && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /**
     * Starts the rings of one host.
     *
     * @param capacity the room of each ring; a power of two
     * @param failures receives the duty's name and what its consumer threw
     */
    public record Factory(int capacity, BiConsumer<String, Throwable> failures) {
        /** Starts a ring. */
        public <E> DutyRing<E> start(String name, Consumer<E> consumer) {
            return DutyRing.start(name, capacity, consumer, failures);
        }
    }

    private static final class Slot<E> {
        private E event;

        E take() {
            E taken = event;
            event = null;
            return taken;
        }
    }

    private record Failures<E>(String name, BiConsumer<String, Throwable> failures)
            implements ExceptionHandler<Slot<E>> {
        @Override
        public void handleEventException(Throwable failure, long sequence, Slot<E> slot) {
            failures.accept(name, failure);
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            failures.accept(name, failure);
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            failures.accept(name, failure);
        }
    }
}
