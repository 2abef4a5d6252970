package org.boragebarrow.standins.platform;

import java.time.Duration;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.boragebarrow.standins.fault.FaultEffects;
import org.boragebarrow.testing.CommitFault;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Executes the calls of one platform component, or fails them according to the configured faults.
 *
 * <p>Not thread-safe; the timer must run its actions on the thread that calls this object.
 */
final class FaultInjector {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final RandomGenerator random;
    private final Timer timer;
    private PlatformFaults faults = PlatformFaults.NONE;
    private final FaultEffects effects = new FaultEffects();
    private long reads;
    private long writes;

    FaultInjector(RandomGenerator random, Timer timer) {
        this.random = checkNotNull(random);
        this.timer = checkNotNull(timer);
    }

    /** Runs actions after a delay. */
    @FunctionalInterface
    interface Timer {
        void schedule(Duration delay, Runnable action);
    }

    void setFaults(PlatformFaults faults) {
        this.faults = checkNotNull(faults);
    }

    long reads() {
        return reads;
    }

    long writes() {
        return writes;
    }

    /** Returns the effects that the faults had. */
    FaultEffects effects() {
        return effects;
    }

    /** Draws how many commits a read lags behind the latest one, from 0 to the configured maximum. */
    int drawStaleCommits() {
        int lag = faults.staleCommits() == 0 ? 0 : random.nextInt(faults.staleCommits() + 1);
        if (lag > 0) {
            effects.count("stale_commits");
        }
        return lag;
    }

    void read(Supplier<Reply> query, Consumer<Reply> callback) {
        reads++;
        boolean down = faults.down();
        if (down) {
            effects.count("down");
        }
        runWithDelay(() -> callback.accept(down ? Reply.status(SERVICE_UNAVAILABLE) : query.get()));
    }

    void write(Supplier<Reply> effect, Consumer<Reply> callback) {
        writes++;
        CommitFault drawn = faults.rates().draw(random);
        countEffect(drawn);
        switch (faults.down() ? CommitFault.REFUSED : drawn) {
            case NONE -> runWithDelay(() -> callback.accept(effect.get()));
            case REFUSED -> runWithDelay(() -> callback.accept(Reply.status(SERVICE_UNAVAILABLE)));
            case LOST_BEFORE_EFFECT -> runWithDelay(() -> callback.accept(new Reply.Reset()));
            case LOST_AFTER_EFFECT ->
                runWithDelay(() -> {
                    effect.get();
                    callback.accept(new Reply.Reset());
                });
            case DELAYED ->
                timer.schedule(Duration.ofMillis(faults.delayMillis()), () -> callback.accept(effect.get()));
            default -> throw new IllegalStateException("unknown commit fault");
        }
    }

    private void countEffect(CommitFault drawn) {
        if (faults.down()) {
            effects.count("down");
        } else if (drawn != CommitFault.NONE) {
            effects.count(drawn.name().toLowerCase(Locale.ROOT));
        }
    }

    private void runWithDelay(Runnable action) {
        if (faults.slowMillis() == 0) {
            action.run();
        } else {
            effects.count("slow_millis");
            timer.schedule(Duration.ofMillis(faults.slowMillis()), action);
        }
    }
}
