package org.boragebarrow.ctl.load;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;

/**
 * Sends the requests of a plan at their intended times, whether or not earlier ones have ended (open loop).
 *
 * <p>Latencies are measured from the intended send time, so that a stalled sender doesn't hide slow responses
 * (coordinated omission).
 */
final class LoadRun {
    private static final Duration MAX_PARK = Duration.ofMillis(100);

    private final ImmutableList<Arrival> plan;
    private final Sender sender;
    private final ScheduledExecutorService scheduler;
    private final Ticker ticker;
    private final Duration grace;
    private final AtomicReferenceArray<Result> results;
    private final CountDownLatch unfinished;
    private final long startNanos;

    /**
     * Creates a run that starts now.
     *
     * @param grace how long after its time limit a request is cancelled
     */
    LoadRun(
            ImmutableList<Arrival> plan,
            Sender sender,
            ScheduledExecutorService scheduler,
            Ticker ticker,
            Duration grace) {
        this.plan = plan;
        this.sender = sender;
        this.scheduler = scheduler;
        this.ticker = ticker;
        this.grace = grace;
        this.results = new AtomicReferenceArray<>(plan.size());
        this.unfinished = new CountDownLatch(plan.size());
        this.startNanos = ticker.read();
    }

    /** Returns the results in the order of the plan, once all requests have ended. */
    ImmutableList<Result> run() throws InterruptedException {
        for (int i = 0; i < plan.size(); i++) {
            waitUntil(plan.get(i).intendedNanos());
            send(i);
        }
        unfinished.await();
        ImmutableList.Builder<Result> all = ImmutableList.builderWithExpectedSize(plan.size());
        for (int i = 0; i < plan.size(); i++) {
            all.add(results.get(i));
        }
        return all.build();
    }

    private long elapsedNanos() {
        return ticker.read() - startNanos;
    }

    private void waitUntil(long targetNanos) throws InterruptedException {
        long remaining = targetNanos - elapsedNanos();
        while (remaining > 0) {
            LockSupport.parkNanos(Math.min(remaining, MAX_PARK.toNanos()));
            if (Thread.interrupted()) {
                throw new InterruptedException("interrupted while waiting to send the next request");
            }
            remaining = targetNanos - elapsedNanos();
        }
    }

    private void send(int index) {
        Arrival arrival = plan.get(index);
        PendingRequest pending = new PendingRequest(arrival, this::elapsedNanos, result -> {
            results.set(index, result);
            unfinished.countDown();
        });
        Runnable cancel = sender.send(arrival, pending);
        long expiryDelayNanos = arrival.work().timeout().plus(grace).toNanos();
        scheduler.schedule(() -> pending.expire(cancel), expiryDelayNanos, TimeUnit.NANOSECONDS);
    }
}
