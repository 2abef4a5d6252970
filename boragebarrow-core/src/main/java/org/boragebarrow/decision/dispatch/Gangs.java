package org.boragebarrow.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.LengthClass;

/** Static functions for gang scheduling: a prompt that is too large for any single engine runs on several at once. */
final class Gangs {
    private static final LengthClass GANG_CLASS = LengthClass.HUGE;

    private static final int MIN_SIZE = 2;

    private Gangs() {}

    /** Returns whether one engine of the pool is large enough for the prompt. */
    static boolean fitsOneEngine(ModelPool pool, LengthClass lengthClass, long tokens) {
        for (EngineView e : pool.engines()) {
            if (e.maxRequestTokens(lengthClass) >= tokens) {
                return true;
            }
        }
        return false;
    }

    /** Returns the maximum number of tokens that the engines together can hold for one prompt. */
    static long capacity(Iterable<EngineView> engines) {
        List<Long> sizes = descendingCapacities(engines);
        long max = 0;
        for (int k = 1; k <= sizes.size(); k++) {
            max = Math.max(max, k * sizes.get(k - 1));
        }
        return max;
    }

    /** Returns the minimum number of engines that hold the tokens in equal parts, or empty if all together cannot. */
    static Optional<Integer> size(Iterable<EngineView> engines, long tokens) {
        List<Long> sizes = descendingCapacities(engines);
        for (int k = 1; k <= sizes.size(); k++) {
            if (k * sizes.get(k - 1) >= tokens) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }

    /** Returns a complete gang of engines with free memory and slots, or empty if there is none now. */
    static Optional<PlacementDecision> choose(ModelPool pool, QueuedRequest queued, long nowNanos) {
        if (pool.openEngineCount() < MIN_SIZE) {
            return Optional.empty();
        }
        List<EngineView> candidates = candidates(pool, queued, nowNanos);
        Optional<Integer> size = size(candidates, queued.tokens);
        if (size.isEmpty()) {
            return Optional.empty();
        }
        int k = size.get();
        long tokensPerEngine = tokensPerEngine(queued.tokens, k);
        List<EngineView> free = new ArrayList<>();
        for (EngineView e : candidates) {
            boolean reservedForOther =
                    e.reservation().filter(r -> r.queued() != queued).isPresent();
            if (!reservedForOther && e.hasSlot(GANG_CLASS) && e.hasMemory(GANG_CLASS, tokensPerEngine)) {
                free.add(e);
            }
        }
        if (free.size() < k) {
            return Optional.empty();
        }
        free.sort(Comparator.comparingDouble(e -> e.waitSeconds(GANG_CLASS, nowNanos)));
        return Optional.of(decisionFor(sortedById(free.subList(0, k)), queued, tokensPerEngine, nowNanos));
    }

    /** Returns a reservation of engines for the prompt, which starts when all are predicted to have room for it. */
    static Optional<EngineReservation> reserve(ModelPool pool, QueuedRequest queued, boolean gang, long nowNanos) {
        List<EngineView> candidates = candidates(pool, queued, nowNanos);
        candidates.removeIf(e -> e.reservation().isPresent());
        Optional<Integer> size = gang ? size(candidates, queued.tokens) : Optional.of(1);
        if (size.isEmpty()) {
            return Optional.empty();
        }
        long tokensPerEngine = tokensPerEngine(queued.tokens, size.get());
        LengthClass lengthClass = gang ? GANG_CLASS : queued.lengthClass;
        candidates.removeIf(e -> e.maxRequestTokens(lengthClass) < tokensPerEngine);
        if (candidates.size() < size.get()) {
            return Optional.empty();
        }
        List<EngineAvailability> availabilities = new ArrayList<>();
        candidates.forEach(
                e -> availabilities.add(new EngineAvailability(e, availableAtNanos(e, tokensPerEngine, nowNanos))));
        availabilities.sort(Comparator.comparingLong(EngineAvailability::atNanos));
        List<EngineAvailability> earliest = availabilities.subList(0, size.get());
        List<EngineView> reservedEngines = new ArrayList<>();
        earliest.forEach(a -> reservedEngines.add(a.engine));
        return Optional.of(new EngineReservation(
                queued, sortedById(reservedEngines), tokensPerEngine, earliest.getLast().atNanos));
    }

    /** Returns the time at which the engine is predicted to have the memory and a batch slot free. */
    static long availableAtNanos(EngineView engine, long tokens, long nowNanos) {
        List<Grant> byEnd = new ArrayList<>();
        engine.grants().forEach(byEnd::add);
        byEnd.sort(Comparator.comparingLong(g -> g.expectedEndNanos));
        long freeTokens = engine.freeTokens();
        int freeSlots = engine.slots() - engine.sequences();
        long atNanos = nowNanos;
        for (Grant g : byEnd) {
            if (freeTokens >= tokens && freeSlots > 0) {
                break;
            }
            freeTokens += g.tokensPerEngine;
            freeSlots++;
            atNanos = Math.max(atNanos, g.expectedEndNanos);
        }
        return atNanos;
    }

    private static List<EngineView> candidates(ModelPool pool, QueuedRequest queued, long nowNanos) {
        List<EngineView> found = new ArrayList<>();
        for (EngineView e : pool.engines()) {
            if (Placement.isCandidate(e, queued, nowNanos)) {
                found.add(e);
            }
        }
        return found;
    }

    private static PlacementDecision decisionFor(
            ImmutableList<EngineView> engines, QueuedRequest queued, long tokensPerEngine, long nowNanos) {
        double prefill = (double) queued.promptTokens() / engines.size();
        double start = 0;
        double decodeRate = Double.MAX_VALUE;
        for (EngineView e : engines) {
            start = Math.max(start, e.waitSeconds(GANG_CLASS, nowNanos) + prefill / e.prefillRate());
            decodeRate = Math.min(decodeRate, e.decodeRate());
        }
        return new PlacementDecision(
                engines, tokensPerEngine, prefill, start, start + queued.expectedAnswerTokens / decodeRate);
    }

    private static ImmutableList<EngineView> sortedById(List<EngineView> engines) {
        return ImmutableList.sortedCopyOf(Comparator.comparing(e -> e.id), engines);
    }

    private static List<Long> descendingCapacities(Iterable<EngineView> engines) {
        List<Long> sizes = new ArrayList<>();
        engines.forEach(e -> sizes.add(e.maxRequestTokens(GANG_CLASS)));
        sizes.sort(Comparator.reverseOrder());
        return sizes;
    }

    private record EngineAvailability(EngineView engine, long atNanos) {}

    private static long tokensPerEngine(long tokens, int engines) {
        return (tokens + engines - 1) / engines;
    }
}
