package org.boragebarrow.node.dispatch;

import java.time.Duration;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.dispatch.DispatchEffect;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.Dispatcher;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.ZoneSummary;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.node.ring.DutyRing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Runs this host's dispatcher on a dedicated thread.
 *
 * <p>Every host runs a dispatcher, which handles all requests that it receives. A disagreement of hosts about which of
 * them is the zone's dispatcher therefore costs efficiency only.
 */
public final class DispatchDuty implements AutoCloseable {
    private static final long SUMMARY_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Duration OVERLOAD_RETRY_DELAY = Duration.ofSeconds(1);

    /** Receives the dispatcher's decisions, on the duty's thread. */
    public interface DecisionListener {
        /** Receives a grant for the front that owns the attempt. */
        void onGranted(DispatchEffect.Granted granted);

        /** Receives a refusal for the front that owns the attempt. */
        void onRefused(DispatchEffect.Refused refused);

        /** Receives an attempt that was queued. */
        void onQueued(AttemptId attempt);

        /** Receives a request to be spilled to another zone. */
        void onSpilled(DispatchEffect.Spilled spilled, GrantRequest request);

        /** Receives the summary of the zone's state as seen by this dispatcher. */
        void onSummary(ZoneSummary summary);
    }

    private final Dispatcher dispatcher;
    private final DecisionListener listener;
    private final Ticker ticker;
    private final DutyRing<DispatchEvent> ring;

    private long nextSummaryNanos;

    /** Starts the thread. */
    public DispatchDuty(Dispatcher dispatcher, DecisionListener listener, Ticker ticker, DutyRing.Factory rings) {
        this.dispatcher = checkNotNull(dispatcher);
        this.listener = checkNotNull(listener);
        this.ticker = checkNotNull(ticker);
        this.nextSummaryNanos = ticker.read();
        this.ring = rings.start("dispatch", this::handle);
    }

    /** Queues a request; refuses it at once if the ring is full. */
    public void submit(GrantRequest request) {
        if (!ring.offer(new DispatchEvent.Submitted(request))) {
            listener.onRefused(new DispatchEffect.Refused(
                    request.attempt(), ErrorKind.OVERLOADED, "the dispatcher's ring is full", OVERLOAD_RETRY_DELAY));
        }
    }

    /** Queues any other event; returns false if the ring is full. Renewals and leases compensate for a lost event. */
    public boolean offer(DispatchEvent event) {
        return ring.offer(event);
    }

    /** Returns the number of queued events. */
    public long queuedEvents() {
        return ring.queuedEvents();
    }

    private void handle(DispatchEvent event) {
        long now = ticker.read();
        ImmutableList<DispatchEffect> effects = dispatcher.apply(event, now);
        boolean answered = false;
        for (DispatchEffect effect : effects) {
            answered |= event instanceof DispatchEvent.Submitted submitted
                    && attemptOf(effect).equals(submitted.request().attempt());
            handle(effect, event);
        }
        if (!answered && event instanceof DispatchEvent.Submitted submitted) {
            listener.onQueued(submitted.request().attempt());
        }
        if (event instanceof DispatchEvent.Ticked && now - nextSummaryNanos >= 0) {
            nextSummaryNanos = now + SUMMARY_INTERVAL_NANOS;
            listener.onSummary(dispatcher.summary(now));
        }
    }

    private void handle(DispatchEffect effect, DispatchEvent cause) {
        switch (effect) {
            case DispatchEffect.Granted granted -> listener.onGranted(granted);
            case DispatchEffect.Refused refused -> listener.onRefused(refused);
            case DispatchEffect.Spilled spilled -> {
                if (cause instanceof DispatchEvent.Submitted submitted) {
                    listener.onSpilled(spilled, submitted.request());
                }
            }
        }
    }

    private static AttemptId attemptOf(DispatchEffect effect) {
        return switch (effect) {
            case DispatchEffect.Granted granted -> granted.attempt();
            case DispatchEffect.Refused refused -> refused.attempt();
            case DispatchEffect.Spilled spilled -> spilled.attempt();
        };
    }

    @Override
    public void close() {
        ring.close();
    }
}
