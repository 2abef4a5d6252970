package org.boragebarrow.node.front;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.google.common.base.Ticker;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.ObjectStore;
import org.boragebarrow.port.ServiceClient;

/** The collaborators that all requests of one host share. */
record FrontContext(
        Grants grants,
        Claims claims,
        ObjectStore objects,
        EngineClient engines,
        ServiceClient services,
        EngineReleases releases,
        GangReservations gangs,
        AttemptCounter attemptCounter,
        SharedRetryPolicy retryPolicy,
        HostMetrics metrics,
        Ticker ticker,
        EventLog log) {
    AttemptId nextAttempt() {
        return attemptCounter.next();
    }

    /** Numbers the attempts of one process; each id contains the host's current incarnation. Thread-safe. */
    static final class AttemptCounter {
        private final Supplier<HostIncarnation> incarnation;
        private final AtomicLong counter = new AtomicLong();

        AttemptCounter(Supplier<HostIncarnation> incarnation) {
            this.incarnation = incarnation;
        }

        AttemptId next() {
            return AttemptId.of(incarnation.get(), counter.incrementAndGet());
        }
    }
}
