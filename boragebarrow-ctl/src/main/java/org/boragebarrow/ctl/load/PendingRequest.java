package org.boragebarrow.ctl.load;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.boragebarrow.ctl.caller.AnswerEnd;
import org.boragebarrow.ctl.caller.AnswerListener;

/** Collects the response to a request until it ends; thread-safe. */
final class PendingRequest implements AnswerListener {
    private final Arrival arrival;
    private final LongSupplier clock;
    private final Consumer<Result> onResult;
    private final long sentNanos;
    private final StringBuilder text = new StringBuilder();
    private OptionalLong firstTokenNanos = OptionalLong.empty();
    private boolean ended;

    /**
     * Creates a pending request that is sent now.
     *
     * @param clock returns the nanoseconds since the start of the run
     */
    PendingRequest(Arrival arrival, LongSupplier clock, Consumer<Result> onResult) {
        this.arrival = arrival;
        this.clock = clock;
        this.onResult = onResult;
        this.sentNanos = clock.getAsLong();
    }

    @Override
    public synchronized void onToken(String token) {
        if (ended) {
            return;
        }
        if (firstTokenNanos.isEmpty()) {
            firstTokenNanos = OptionalLong.of(clock.getAsLong());
        }
        text.append(token);
    }

    @Override
    public synchronized void onEnd(AnswerEnd end) {
        if (ended) {
            return;
        }
        ended = true;
        onResult.accept(new Result(arrival, sentNanos, firstTokenNanos, clock.getAsLong(), end, text.toString()));
    }

    /** Cancels the request and reports it as cut if it has not ended. */
    synchronized void expire(Runnable cancel) {
        if (!ended) {
            cancel.run();
            onEnd(new AnswerEnd.Cut(true, "no end within the time limit"));
        }
    }
}
