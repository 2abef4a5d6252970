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
 * The thread that runs this host's dispatcher.
 *
 * <p>Every host runs one; it decides whatever it is asked, so that hosts which disagree about who dispatches lose
 * efficiency and nothing else.
 */
public final class DispatchDuty implements AutoCloseable {
    private static final long SUMMARY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Duration FULL_RETRY = Duration.ofSeconds(1);

    /** Receives what the dispatcher decides, on the duty's thread. */
    public interface Outlet {
        /** Receives a grant for the front that owns the attempt. */
        void granted(DispatchEffect.Granted granted);

        /** Receives a refusal for the front that owns the attempt. */
        void refused(DispatchEffect.Refused refused);

        /** Receives that an attempt waits. */
        void queued(AttemptId attempt);

        /** Receives an attempt to pass on to another zone. */
        void spilled(DispatchEffect.Spilled spilled, GrantRequest request);

        /** Receives the zone's summary, as this dispatcher sees the zone. */
        void summarised(ZoneSummary summary);
    }

    private final Dispatcher dispatcher;
    private final Outlet outlet;
    private final Ticker ticker;
    private final DutyRing<DispatchEvent> ring;

    private long nextSummaryNanos;

    /** Starts the duty. */
    public DispatchDuty(Dispatcher dispatcher, Outlet outlet, Ticker ticker, DutyRing.Factory rings) {
        this.dispatcher = checkNotNull(dispatcher);
        this.outlet = checkNotNull(outlet);
        this.ticker = checkNotNull(ticker);
        this.nextSummaryNanos = ticker.read();
        this.ring = rings.start("dispatch", this::handle);
    }

    /** Hands over a request; a full ring refuses it at once. */
    public void submit(GrantRequest request) {
        if (!ring.offer(new DispatchEvent.Submitted(request))) {
            outlet.refused(new DispatchEffect.Refused(
                    request.attempt(), ErrorKind.OVERLOADED, "the dispatcher's ring is full", FULL_RETRY));
        }
    }

    /** Hands over any other event; one that a full ring loses is made up for by renewals and leases. */
    public boolean offer(DispatchEvent event) {
        return ring.offer(event);
    }

    /** Returns the number of events that wait. */
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
