package org.boragebarrow.standins.engine;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.boragebarrow.standins.fault.FaultEffects;

/** Runs an {@link EngineModel} in real time; confined to its event loop, except for {@link #execute}. */
final class EngineDriver {
    private final EventLoop loop;
    private final EngineSettings settings;
    private final SplittableRandom random;
    private final LongSupplier nanoClock;
    private final FaultEffects effects = new FaultEffects();
    private final TokenStreams streams = new TokenStreams(effects);
    private final Queue<Runnable> deferredCalls = new ArrayDeque<>();
    private EngineModel model;
    private EngineFaults faults = EngineFaults.none();
    private Optional<Future<?>> timer = Optional.empty();
    private boolean stopped;

    EngineDriver(EventLoop loop, EngineSettings settings, SplittableRandom random, LongSupplier nanoClock) {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
        this.nanoClock = nanoClock;
        this.model = newModel();
    }

    /** Runs the action on the event loop. */
    void execute(Runnable action) {
        loop.execute(action);
    }

    void start() {
        call(() -> {});
    }

    void stop() {
        stopped = true;
        timer.ifPresent(pending -> pending.cancel(false));
    }

    /** Runs a call on the model at the current time; defers it while the engine is frozen. */
    void call(Runnable action) {
        if (model.isFrozen()) {
            effects.count("frozen");
            deferredCalls.add(action);
            return;
        }
        advance();
        action.run();
        streams.flush();
        scheduleTimer();
    }

    EngineModel model() {
        return model;
    }

    TokenStreams streams() {
        return streams;
    }

    FaultEffects effects() {
        return effects;
    }

    EngineFaults faults() {
        return faults;
    }

    void setFaults(EngineFaults changed) {
        advance();
        faults = changed;
        model.setSlowFactor(changed.slowFactor());
        model.setRefusing(changed.refuse());
        model.setLeaving(changed.leaving());
        streams.setDropAfterTokens(changed.dropAfterTokens());
        streams.setDieAfterTokens(changed.dieAfterTokens());
        model.setFrozen(changed.frozen());
        while (!model.isFrozen() && !deferredCalls.isEmpty()) {
            call(deferredCalls.remove());
        }
        scheduleTimer();
    }

    private EngineModel newModel() {
        return new EngineModel(settings, random.split(), streams, nanoClock.getAsLong());
    }

    private void advance() {
        model.advance(nanoClock.getAsLong());
        if (streams.pollCrash()) {
            effects.count("die_after_tokens");
            streams.dropAll();
            model = newModel();
            setFaults(new EngineFaults(
                    faults.slowFactor(),
                    faults.refuse(),
                    faults.leaving(),
                    faults.frozen(),
                    faults.loseCancelAnswers(),
                    0,
                    0));
        }
    }

    private void onTimer() {
        timer = Optional.empty();
        if (faults.slowFactor() != 1) {
            effects.count("slow_factor");
        }
        advance();
        streams.flush();
        scheduleTimer();
    }

    private void scheduleTimer() {
        timer.ifPresent(pending -> pending.cancel(false));
        timer = Optional.empty();
        long due = model.nextNanos();
        if (!stopped && due != Long.MAX_VALUE) {
            long delay = Math.max(0, due - nanoClock.getAsLong());
            timer = Optional.of(loop.schedule(this::onTimer, delay, TimeUnit.NANOSECONDS));
        }
    }
}
