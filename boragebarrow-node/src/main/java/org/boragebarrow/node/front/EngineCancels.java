package org.boragebarrow.node.front;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Cancels sequences at engines, again and again until the engine confirms.
 *
 * <p>Thread-safe. After the last try the zone's observers find the sequence in the engine's listing and go on.
 */
public final class EngineCancels {
    private static final int MAX_TRIES = 6;
    private static final long FIRST_DELAY_MILLIS = 100;

    private final EngineControl control;
    private final EventLoopGroup timers;

    /** Creates cancels that wait between tries on the given loops. */
    public EngineCancels(EngineControl control, EventLoopGroup timers) {
        this.control = checkNotNull(control);
        this.timers = checkNotNull(timers);
    }

    /** Cancels the attempt's sequence; idempotent at the engine. */
    public void cancel(Target engine, AttemptId attempt) {
        attempt(checkNotNull(engine), checkNotNull(attempt), 1);
    }

    private void attempt(Target engine, AttemptId attempt, int tries) {
        control.cancel(engine, attempt).whenComplete((done, failure) -> {
            if (failure == null || tries == MAX_TRIES) {
                return;
            }
            long delay = FIRST_DELAY_MILLIS << (tries - 1);
            timers.next().schedule(() -> attempt(engine, attempt, tries + 1), delay, TimeUnit.MILLISECONDS);
        });
    }
}
