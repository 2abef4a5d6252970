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
 * A bounded ring buffer of events with one consumer thread.
 *
 * <p>Thread-safe. A full ring rejects events: the producer handles the rejection and never blocks.
 *
 * @param <E> the type of the events
 */
public final class DutyRing<E> implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;
    private static final long RETRY_DELAY_MILLIS = 10;

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
        disruptor.setDefaultExceptionHandler(new FailureHandler<>(name, failures));
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> consumer.accept(slot.removeEvent()));
        this.ring = disruptor.start();
    }

    /**
     * Starts a ring and its consumer thread.
     *
     * @param capacity maximum number of queued events; a power of two
     * @param consumer handles each event on the ring's thread; exceptions that it throws are passed to {@code failures}
     */
    public static <E> DutyRing<E> start(
            String name, int capacity, Consumer<E> consumer, BiConsumer<String, Throwable> failures) {
        checkArgument(Integer.bitCount(capacity) == 1, "capacity must be a power of two: %s", capacity);
        return new DutyRing<>(checkNotNull(name), capacity, checkNotNull(consumer), checkNotNull(failures));
    }

    /** Queues an event; returns false if the ring is full. */
    public boolean offer(E event) {
        checkNotNull(event);
        return ring.tryPublishEvent((slot, sequence, value) -> slot.event = value, event);
    }

    /** Queues an event that must not be lost; if the ring is full, retries after a short delay without blocking. */
    public void offerWithRetry(E event) {
        if (!offer(event)) {
            CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(() -> offerWithRetry(event));
        }
    }

    /** Returns the name of the duty, which the consumer thread's name contains. */
    public String name() {
        return name;
    }

    /** Returns the number of queued events. */
    public long queuedEvents() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /** Stops the thread after it has handled the queued events, or after a timeout. */
    @Override
    public void close() {
        try {
            drain();
            disruptor.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            disruptor.halt();
        }
    }

    /**
     * Waits until all queued events are handled or the timeout expires. The shutdown of the Disruptor library does not
     * wait for a consumer whose thread has not run yet.
     */
    private void drain() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SHUTDOWN_TIMEOUT_SECONDS);
        while (queuedEvents() > 0 && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /**
     * Starts the rings of one host.
     *
     * @param capacity capacity of each ring; a power of two
     * @param failures receives the name of a duty and the exception that its consumer threw
     */
    public record Factory(int capacity, BiConsumer<String, Throwable> failures) {
        /** Starts the ring of the named duty. */
        public <E> DutyRing<E> start(String name, Consumer<E> consumer) {
            return DutyRing.start(name, capacity, consumer, failures);
        }
    }

    private static final class Slot<E> {
        private E event;

        E removeEvent() {
            E removed = event;
            event = null;
            return removed;
        }
    }

    private record FailureHandler<E>(String name, BiConsumer<String, Throwable> failures)
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
