package org.boragebarrow.node.front;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Cancels sequences and releases reservations at engines, with retries until the engine confirms.
 *
 * <p>Thread-safe. After the last retry the zone's observers find what is left in the engine's listing and keep trying.
 */
public final class EngineReleases {
    private static final int MAX_TRIES = 6;
    private static final long INITIAL_DELAY_MILLIS = 100;

    private final EngineControl control;
    private final EventLoopGroup timers;

    /** Creates an instance that schedules its retries on the given event loops. */
    public EngineReleases(EngineControl control, EventLoopGroup timers) {
        this.control = checkNotNull(control);
        this.timers = checkNotNull(timers);
    }

    /** Cancels the attempt's sequence and its reservation, if any, at the engine; idempotent at the engine. */
    public void cancel(Target engine, AttemptId attempt) {
        checkNotNull(engine);
        checkNotNull(attempt);
        callWithRetries(() -> control.cancel(engine, attempt), 1);
    }

    /** Releases the attempt's reservation; idempotent at the engine. */
    public void release(Target engine, AttemptId attempt) {
        checkNotNull(engine);
        checkNotNull(attempt);
        callWithRetries(() -> control.release(engine, attempt), 1);
    }

    private void callWithRetries(Supplier<CompletableFuture<Void>> call, int tries) {
        call.get().whenComplete((done, failure) -> {
            if (failure == null || tries == MAX_TRIES) {
                return;
            }
            long delay = INITIAL_DELAY_MILLIS << (tries - 1);
            timers.next().schedule(() -> callWithRetries(call, tries + 1), delay, TimeUnit.MILLISECONDS);
        });
    }
}
