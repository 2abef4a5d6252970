package org.boragebarrow.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.LengthClass;

/** Sizes and picks the engines that together hold a prompt larger than each of them. */
final class Gangs {
    private static final LengthClass CLASS = LengthClass.HUGE;

    private static final int MIN_SIZE = 2;

    private Gangs() {}

    /** Returns whether one engine of the pool is large enough for the prompt. */
    static boolean fitsOneEngine(ModelPool pool, LengthClass lengthClass, long tokens) {
        for (EngineView e : pool.engines()) {
            if (e.usable(lengthClass) >= tokens) {
                return true;
            }
        }
        return false;
    }

    /** Returns the most tokens that the engines can hold together for one prompt. */
    static long capacity(Iterable<EngineView> engines) {
        List<Long> sizes = sizes(engines);
        long most = 0;
        for (int k = 1; k <= sizes.size(); k++) {
            most = Math.max(most, k * sizes.get(k - 1));
        }
        return most;
    }

    /** Returns the least number of engines that hold the tokens in equal parts, or empty if all are too few. */
    static Optional<Integer> size(Iterable<EngineView> engines, long tokens) {
        List<Long> sizes = sizes(engines);
        for (int k = 1; k <= sizes.size(); k++) {
            if (k * sizes.get(k - 1) >= tokens) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }

    /** Returns a gang that has room now, all or nothing. */
    static Optional<Choice> choose(ModelPool pool, Queued queued, long nowNanos) {
        if (pool.openings() < MIN_SIZE) {
            return Optional.empty();
        }
        List<EngineView> candidates = candidates(pool, queued, nowNanos);
        Optional<Integer> size = size(candidates, queued.tokens);
        if (size.isEmpty()) {
            return Optional.empty();
        }
        int k = size.get();
        long each = part(queued.tokens, k);
        List<EngineView> free = new ArrayList<>();
        for (EngineView e : candidates) {
            boolean held = e.hold().filter(h -> h.queued() != queued).isPresent();
            if (!held && e.hasSlot(CLASS) && e.hasMemory(CLASS, each)) {
                free.add(e);
            }
        }
        if (free.size() < k) {
            return Optional.empty();
        }
        free.sort(Comparator.comparingDouble(e -> e.waitSeconds(CLASS, nowNanos)));
        return Optional.of(choice(inOrder(free.subList(0, k)), queued, each, nowNanos));
    }

    /** Returns engines to keep for the prompt, with the time at which all of them are predicted to have room. */
    static Optional<Hold> hold(ModelPool pool, Queued queued, boolean gang, long nowNanos) {
        List<EngineView> candidates = candidates(pool, queued, nowNanos);
        candidates.removeIf(e -> e.hold().isPresent());
        Optional<Integer> size = gang ? size(candidates, queued.tokens) : Optional.of(1);
        if (size.isEmpty()) {
            return Optional.empty();
        }
        long each = part(queued.tokens, size.get());
        LengthClass lengthClass = gang ? CLASS : queued.lengthClass;
        candidates.removeIf(e -> e.usable(lengthClass) < each);
        if (candidates.size() < size.get()) {
            return Optional.empty();
        }
        List<Room> rooms = new ArrayList<>();
        candidates.forEach(e -> rooms.add(new Room(e, roomAt(e, each, nowNanos))));
        rooms.sort(Comparator.comparingLong(Room::atNanos));
        List<Room> first = rooms.subList(0, size.get());
        List<EngineView> kept = new ArrayList<>();
        first.forEach(r -> kept.add(r.engine));
        return Optional.of(new Hold(queued, inOrder(kept), each, first.getLast().atNanos));
    }

    /** Returns when the engine is predicted to have the memory and a slot free. */
    static long roomAt(EngineView engine, long tokens, long nowNanos) {
        List<Grant> ending = new ArrayList<>();
        engine.grants().forEach(ending::add);
        ending.sort(Comparator.comparingLong(g -> g.expectedEndNanos));
        long free = engine.freeTokens();
        int slots = engine.slots() - engine.sequences();
        long at = nowNanos;
        for (Grant g : ending) {
            if (free >= tokens && slots > 0) {
                break;
            }
            free += g.tokensEach;
            slots++;
            at = Math.max(at, g.expectedEndNanos);
        }
        return at;
    }

    private static List<EngineView> candidates(ModelPool pool, Queued queued, long nowNanos) {
        List<EngineView> found = new ArrayList<>();
        for (EngineView e : pool.engines()) {
            if (Placement.isCandidate(e, queued, nowNanos)) {
                found.add(e);
            }
        }
        return found;
    }

    private static Choice choice(ImmutableList<EngineView> engines, Queued queued, long each, long nowNanos) {
        double prefill = (double) queued.promptTokens() / engines.size();
        double start = 0;
        double decodeRate = Double.MAX_VALUE;
        for (EngineView e : engines) {
            start = Math.max(start, e.waitSeconds(CLASS, nowNanos) + prefill / e.prefillRate());
            decodeRate = Math.min(decodeRate, e.decodeRate());
        }
        return new Choice(engines, each, prefill, start, start + queued.expectedAnswerTokens / decodeRate);
    }

    private static ImmutableList<EngineView> inOrder(List<EngineView> engines) {
        return ImmutableList.sortedCopyOf(Comparator.comparing(e -> e.id), engines);
    }

    private static List<Long> sizes(Iterable<EngineView> engines) {
        List<Long> sizes = new ArrayList<>();
        engines.forEach(e -> sizes.add(e.usable(CLASS)));
        sizes.sort(Comparator.reverseOrder());
        return sizes;
    }

    private record Room(EngineView engine, long atNanos) {}

    private static long part(long tokens, int engines) {
        return (tokens + engines - 1) / engines;
    }
}
