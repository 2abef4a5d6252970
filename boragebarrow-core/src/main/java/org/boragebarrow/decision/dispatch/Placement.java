package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.prefix.PrefixIndex;
import org.boragebarrow.model.LengthClass;

/** Chooses the engine for a prompt that fits on a single one. */
final class Placement {
    // Prefill beyond this limit stays in the dispatcher's queue, where it can still be reordered.
    private static final double MAX_BACKLOG_SECONDS = 0.5;
    private static final double OCCUPANCY_COST_SECONDS = 0.05;
    private static final double LOAD_BOUND_FACTOR = 1.25;
    private static final int MIN_SEGREGATED_ENGINES = 4;
    private static final double SHORTER_MAX_UTILISATION = 0.8;
    private static final double SHORTER_TARGET_UTILISATION = 0.45;
    private static final double LONG_TARGET_UTILISATION = 0.75;
    private static final double DRAIN_SECONDS = 5;

    private final DispatchSettings settings;
    private final PrefixIndex prefixes;
    private final double interferenceSeconds;

    Placement(DispatchSettings settings, PrefixIndex prefixes) {
        this.settings = settings;
        this.prefixes = prefixes;
        interferenceSeconds = settings.interference().toMillis() / 1e3;
    }

    /** Returns the best engine that can accept the prompt now. */
    Optional<PlacementDecision> choose(ModelPool pool, QueuedRequest queued, long nowNanos) {
        return switch (settings.policy()) {
            case PlacementPolicy.PredictedCost p -> leastPredictedCost(pool, queued, nowNanos);
            case PlacementPolicy.RoundRobin p -> roundRobin(pool, queued, nowNanos);
            case PlacementPolicy.LeastLoad p -> leastLoaded(pool, queued, nowNanos);
        };
    }

    /** Returns whether the engine can accept the prompt, regardless of its load. */
    static boolean isCandidate(EngineView engine, QueuedRequest queued, long nowNanos) {
        return engine.isAvailable(nowNanos) && !queued.request.excluded().contains(engine.id);
    }

    private Optional<PlacementDecision> leastPredictedCost(ModelPool pool, QueuedRequest queued, long nowNanos) {
        Work.Prompt prompt = (Work.Prompt) queued.request.work();
        int firstEligible = firstEligibleEngine(pool, queued.lengthClass, nowNanos);
        ImmutableList<EngineView> engines = pool.engines();
        double maxSequences = LOAD_BOUND_FACTOR * pool.meanSequences() + 1;
        Optional<EngineView> best = Optional.empty();
        double minScore = Double.MAX_VALUE;
        boolean prefixMatched = false;
        for (int i = 0; i < pool.openEngineCount(); i++) {
            EngineView e = engines.get(pool.openEngineIndex(i));
            if (pool.openEngineIndex(i) < firstEligible
                    || !isCandidate(e, queued, nowNanos)
                    || !fits(e, queued, nowNanos)) {
                continue;
            }
            if (!prefixMatched) {
                prefixes.match(prompt.prefix());
                prefixMatched = true;
            }
            double score = score(e, queued, prompt, e.sequences() < maxSequences, nowNanos);
            if (score < minScore) {
                best = Optional.of(e);
                minScore = score;
            }
        }
        return best.map(e -> decisionFor(pool, e, queued, prompt, nowNanos));
    }

    private double score(
            EngineView engine, QueuedRequest queued, Work.Prompt prompt, boolean countCache, long nowNanos) {
        double cached = countCache ? cachedTokens(engine, prompt) : 0;
        double prefill = (prompt.promptTokens() - cached) / engine.prefillRate();
        double score = engine.waitSeconds(queued.lengthClass, nowNanos) + prefill;
        score += OCCUPANCY_COST_SECONDS * engine.sequences() / engine.slots();
        int delayedClasses = engine.longerClassCount(queued.lengthClass, nowNanos);
        if (delayedClasses > 0) {
            // The prompt waits for the engine step in progress, and it delays the prefill of each longer class.
            score += interferenceSeconds + delayedClasses * prefill;
        }
        return score;
    }

    private double cachedTokens(EngineView engine, Work.Prompt prompt) {
        // The last token is always computed, as its output is the first answer token.
        double maxCached = Math.max(0, prompt.promptTokens() - 1);
        return Math.min(
                maxCached, prefixes.cachedBlocks(engine.id) * settings.cache().blockTokens());
    }

    private PlacementDecision decisionFor(
            ModelPool pool, EngineView engine, QueuedRequest queued, Work.Prompt prompt, long nowNanos) {
        double prefill = prompt.promptTokens() - cachedTokens(engine, prompt);
        double start = engine.waitSeconds(queued.lengthClass, nowNanos) + prefill / engine.prefillRate();
        double finish = start + Forecast.answerSeconds(pool, engine, queued);
        return new PlacementDecision(ImmutableList.of(engine), queued.tokens, prefill, start, finish);
    }

    private boolean fits(EngineView engine, QueuedRequest queued, long nowNanos) {
        LengthClass c = queued.lengthClass;
        if (!engine.hasSlot(c) || !engine.hasMemory(c, queued.tokens)) {
            return false;
        }
        Optional<EngineReservation> reservation = engine.reservation();
        if (reservation.isPresent() && reservation.get().queued() == queued) {
            return true;
        }
        if (engine.waitSeconds(c, nowNanos) > MAX_BACKLOG_SECONDS) {
            return false;
        }
        return reservation.isEmpty() || mayBackfill(engine, queued, reservation.get(), nowNanos);
    }

    private static boolean mayBackfill(
            EngineView engine, QueuedRequest queued, EngineReservation reservation, long nowNanos) {
        if (engine.fitsAlongside(reservation, queued.lengthClass, queued.tokens)) {
            return true;
        }
        double seconds = engine.waitSeconds(queued.lengthClass, nowNanos)
                + queued.promptTokens() / engine.prefillRate()
                + ((Work.Prompt) queued.request.work()).maxTokens() / engine.decodeRate();
        return nowNanos + (long) (seconds * 1e9) - reservation.startNanos() <= 0;
    }

    /** Returns the index of the first engine that may serve the class; engines before it serve no long prompts. */
    private static int firstEligibleEngine(ModelPool pool, LengthClass lengthClass, long nowNanos) {
        int n = pool.engines().size();
        if (!ModelPool.isLong(lengthClass) || n < MIN_SEGREGATED_ENGINES) {
            return 0;
        }
        double engineRate = pool.prefillRate() / n;
        double longRate = pool.longTokensPerSecond(nowNanos);
        double drainRate = longRate + pool.queuedLongTokens() / DRAIN_SECONDS;
        double shorterEngines = pool.shorterTokensPerSecond(nowNanos) / engineRate;
        double notNeededByLong = n - Math.ceil(longRate / engineRate / LONG_TARGET_UTILISATION);
        double keptForShorter = Math.max(
                Math.floor(shorterEngines / SHORTER_MAX_UTILISATION),
                Math.min(Math.floor(shorterEngines / SHORTER_TARGET_UTILISATION), notNeededByLong));
        double neededByLong = Math.ceil(drainRate / engineRate / LONG_TARGET_UTILISATION);
        return n - (int) Math.clamp(Math.min(neededByLong, n - keptForShorter), 1, n - 1);
    }

    private Optional<PlacementDecision> roundRobin(ModelPool pool, QueuedRequest queued, long nowNanos) {
        Work.Prompt prompt = (Work.Prompt) queued.request.work();
        int start = pool.nextRoundRobinIndex();
        ImmutableList<EngineView> engines = pool.engines();
        for (int i = 0; i < engines.size(); i++) {
            EngineView e = engines.get((start + i) % engines.size());
            if (isCandidate(e, queued, nowNanos) && hasCapacity(e, queued)) {
                prefixes.match(prompt.prefix());
                return Optional.of(decisionFor(pool, e, queued, prompt, nowNanos));
            }
        }
        return Optional.empty();
    }

    private Optional<PlacementDecision> leastLoaded(ModelPool pool, QueuedRequest queued, long nowNanos) {
        Work.Prompt prompt = (Work.Prompt) queued.request.work();
        Optional<EngineView> best = Optional.empty();
        int minSequences = Integer.MAX_VALUE;
        int start = pool.nextRoundRobinIndex();
        ImmutableList<EngineView> engines = pool.engines();
        for (int i = 0; i < engines.size(); i++) {
            EngineView e = engines.get((start + i) % engines.size());
            if (isCandidate(e, queued, nowNanos) && hasCapacity(e, queued) && e.sequences() < minSequences) {
                best = Optional.of(e);
                minSequences = e.sequences();
            }
        }
        prefixes.match(prompt.prefix());
        return best.map(e -> decisionFor(pool, e, queued, prompt, nowNanos));
    }

    private static boolean hasCapacity(EngineView engine, QueuedRequest queued) {
        return engine.hasSlot(queued.lengthClass) && engine.hasMemory(queued.lengthClass, queued.tokens);
    }
}
