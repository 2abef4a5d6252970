package org.boragebarrow.node.assign;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.Assigner;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.ring.DutyRing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Runs one {@link Assigner} on a dedicated thread.
 *
 * <p>Thread-safe.
 */
public final class AssignDuty implements AutoCloseable {
    /** Maximum number of queued events; this many requests at once are far more than a host's core can serve. */
    private static final int RING_CAPACITY = 8_192;

    /** Interval at which queued work is checked although no attempt ended, for targets whose ejection is over. */
    private static final long TICK_INTERVAL_MILLIS = 50;

    /** Minimum interval between two reports of slow targets. */
    private static final long SLOW_REPORT_NANOS = 500_000_000L;

    private final Assigner assigner = new Assigner();
    private final AtomicBoolean tickScheduled = new AtomicBoolean();
    private final EventLoop loop;
    private final Ticker ticker;
    private final Consumer<ImmutableList<AssignEffect>> sink;
    private final Consumer<ImmutableMap<TargetId, Double>> slowTargets;
    private final DutyRing<AssignEvent> ring;
    private volatile int queuedCount;
    private ImmutableMap<TargetId, Double> reportedSlow = ImmutableMap.of();
    private long slowReportedAt;

    /**
     * Starts the thread.
     *
     * @param sink receives the effects of each event, on the event loop
     * @param slowTargets receives the slow targets and their factors on the event loop, whenever one is added or removed
     * @param failures receives the duty's name and the exception that handling an event threw
     */
    public AssignDuty(
            EventLoop loop,
            Ticker ticker,
            Consumer<ImmutableList<AssignEffect>> sink,
            Consumer<ImmutableMap<TargetId, Double>> slowTargets,
            BiConsumer<String, Throwable> failures) {
        this.loop = checkNotNull(loop);
        this.ticker = checkNotNull(ticker);
        this.sink = checkNotNull(sink);
        this.slowTargets = checkNotNull(slowTargets);
        this.slowReportedAt = ticker.read();
        this.ring = DutyRing.start("assign", RING_CAPACITY, this::apply, failures);
    }

    /** Returns the number of attempts that wait for a target. Thread-safe. */
    public int queuedCount() {
        return queuedCount;
    }

    /** Queues an event; returns false if the ring is full. */
    public boolean offer(AssignEvent event) {
        return ring.offer(event);
    }

    /** Queues an event that must not be lost; if the ring is full, retries after a short delay without blocking. */
    public void offerWithRetry(AssignEvent event) {
        ring.offerWithRetry(event);
    }

    private void apply(AssignEvent event) {
        long now = ticker.read();
        ImmutableList<AssignEffect> effects = assigner.apply(event, now);
        queuedCount = assigner.queuedCount();
        if (!effects.isEmpty()) {
            loop.execute(() -> sink.accept(effects));
        }
        if (assigner.hasQueuedWork() && tickScheduled.compareAndSet(false, true)) {
            loop.schedule(this::tick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (now - slowReportedAt >= SLOW_REPORT_NANOS) {
            slowReportedAt = now;
            reportSlowTargets();
        }
    }

    private void reportSlowTargets() {
        ImmutableMap<TargetId, Double> slow = assigner.slowTargets();
        if (!slow.keySet().equals(reportedSlow.keySet())) {
            reportedSlow = slow;
            loop.execute(() -> slowTargets.accept(slow));
        }
    }

    private void tick() {
        tickScheduled.set(false);
        ring.offerWithRetry(new AssignEvent.Ticked());
    }

    @Override
    public void close() {
        ring.close();
    }
}
