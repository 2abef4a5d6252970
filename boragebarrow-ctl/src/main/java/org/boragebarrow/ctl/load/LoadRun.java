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
 * Sends the requests of a plan at their times, whether or not earlier ones have ended.
 *
 * <p>Times count from when a request should have been sent, so that a stalled sender doesn't hide slow answers.
 */
final class LoadRun {
    private static final Duration LONGEST_PARK = Duration.ofMillis(100);

    private final ImmutableList<Arrival> plan;
    private final Sender sender;
    private final ScheduledExecutorService timers;
    private final Ticker ticker;
    private final Duration grace;
    private final AtomicReferenceArray<Result> results;
    private final CountDownLatch missing;
    private final long startNanos;

    /** Creates a run that starts now; its requests are given up once the grace after their time limits has passed. */
    LoadRun(
            ImmutableList<Arrival> plan,
            Sender sender,
            ScheduledExecutorService timers,
            Ticker ticker,
            Duration grace) {
        this.plan = plan;
        this.sender = sender;
        this.timers = timers;
        this.ticker = ticker;
        this.grace = grace;
        this.results = new AtomicReferenceArray<>(plan.size());
        this.missing = new CountDownLatch(plan.size());
        this.startNanos = ticker.read();
    }

    /** Returns the results in the order of the plan, once all requests have ended. */
    ImmutableList<Result> run() throws InterruptedException {
        for (int i = 0; i < plan.size(); i++) {
            awaitTime(plan.get(i).atNanos());
            send(i);
        }
        missing.await();
        ImmutableList.Builder<Result> all = ImmutableList.builderWithExpectedSize(plan.size());
        for (int i = 0; i < plan.size(); i++) {
            all.add(results.get(i));
        }
        return all.build();
    }

    private long elapsed() {
        return ticker.read() - startNanos;
    }

    private void awaitTime(long nanos) throws InterruptedException {
        long left = nanos - elapsed();
        while (left > 0) {
            LockSupport.parkNanos(Math.min(left, LONGEST_PARK.toNanos()));
            if (Thread.interrupted()) {
                throw new InterruptedException("the run was interrupted");
            }
            left = nanos - elapsed();
        }
    }

    private void send(int index) {
        Arrival arrival = plan.get(index);
        PendingRequest pending = new PendingRequest(arrival, this::elapsed, result -> {
            results.set(index, result);
            missing.countDown();
        });
        Runnable cancel = sender.send(arrival, pending);
        long limit = arrival.work().timeout().plus(grace).toNanos();
        timers.schedule(() -> pending.expire(cancel), limit, TimeUnit.NANOSECONDS);
    }
}
