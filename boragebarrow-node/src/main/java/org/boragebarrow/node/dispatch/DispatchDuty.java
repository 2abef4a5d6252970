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
 * Runs this host's dispatcher on a thread of its own.
 *
 * <p>Every host runs a dispatcher, which handles all requests that it receives. Hosts that disagree about which of them
 * is the zone's dispatcher therefore lose efficiency only.
 */
public final class DispatchDuty implements AutoCloseable {
    private static final long SUMMARY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Duration FULL_RETRY = Duration.ofSeconds(1);

    /** Receives the dispatcher's decisions, on the duty's thread. */
    public interface Outlet {
        /** Receives a grant for the front that owns the attempt. */
        void granted(DispatchEffect.Granted granted);

        /** Receives a refusal for the front that owns the attempt. */
        void refused(DispatchEffect.Refused refused);

        /** Receives an attempt that was queued. */
        void queued(AttemptId attempt);

        /** Receives a request to be spilled to another zone. */
        void spilled(DispatchEffect.Spilled spilled, GrantRequest request);

        /** Receives the summary of the zone's state as seen by this dispatcher. */
        void summarised(ZoneSummary summary);
    }

    private final Dispatcher dispatcher;
    private final Outlet outlet;
    private final Ticker ticker;
    private final DutyRing<DispatchEvent> ring;

    private long nextSummaryNanos;

    /** Starts the thread. */
    public DispatchDuty(Dispatcher dispatcher, Outlet listener, Ticker ticker, DutyRing.Factory rings) {
        this.dispatcher = checkNotNull(dispatcher);
        this.outlet = checkNotNull(listener);
        this.ticker = checkNotNull(ticker);
        this.nextSummaryNanos = ticker.read();
        this.ring = rings.start("dispatch", this::handle);
    }

    /** Queues a request; refuses it at once if the ring is full. */
    public void submit(GrantRequest request) {
        if (!ring.offer(new DispatchEvent.Submitted(request))) {
            outlet.refused(new DispatchEffect.Refused(
                    request.attempt(), ErrorKind.OVERLOADED, "the dispatcher's ring is full", FULL_RETRY));
        }
    }

    /**
     * Queues any other event; returns false if the ring is full. Renewals and leases compensate for a lost event.
     */
    public boolean offer(DispatchEvent event) {
        return ring.offer(event);
    }

    /** Returns the number of queued events. */
    public long waiting() {
        return ring.waiting();
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
            outlet.queued(submitted.request().attempt());
        }
        if (event instanceof DispatchEvent.Ticked && now - nextSummaryNanos >= 0) {
            nextSummaryNanos = now + SUMMARY_NANOS;
            outlet.summarised(dispatcher.summary(now));
        }
    }

    private void handle(DispatchEffect effect, DispatchEvent cause) {
        switch (effect) {
            case DispatchEffect.Granted granted -> outlet.granted(granted);
            case DispatchEffect.Refused refused -> outlet.refused(refused);
            case DispatchEffect.Spilled spilled -> {
                if (cause instanceof DispatchEvent.Submitted submitted) {
                    outlet.spilled(spilled, submitted.request());
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
