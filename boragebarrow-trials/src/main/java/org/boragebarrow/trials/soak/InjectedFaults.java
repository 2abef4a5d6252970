package org.boragebarrow.trials.soak;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.Endpoint;

/** Counts the faults that a run injected and those that had an effect. Thread-safe. */
final class InjectedFaults {
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Set<Endpoint> occupied = ConcurrentHashMap.newKeySet();

    private record Tally(int injected, int effective, long effects) {
        Tally plus(long moreEffects) {
            return new Tally(injected + 1, effective + (moreEffects > 0 ? 1 : 0), effects + moreEffects);
        }
    }

    /** Returns whether the stand-in had no fault, and reserves it for one. */
    boolean tryOccupy(Endpoint standin) {
        return occupied.add(standin);
    }

    void release(Endpoint standin) {
        occupied.remove(standin);
    }

    /** Records one injection and the number of its effects. */
    synchronized void add(String name, long effects) {
        tallies.merge(name, new Tally(0, 0, 0).plus(effects), (known, added) -> known.plus(effects));
    }

    /** Reports each kind of fault that never had an effect, as it proved nothing. */
    synchronized void check(Violations violations) {
        tallies.forEach((name, tally) -> {
            if (tally.effective() == 0) {
                violations.add("an injected fault has effects", name + " had none, injected " + tally.injected());
            }
        });
    }

    /** Returns one line a kind of fault. */
    synchronized ImmutableList<String> lines() {
        return tallies.entrySet().stream()
                .map(entry -> entry.getKey() + ": injected " + entry.getValue().injected() + ", effective "
                        + entry.getValue().effective() + ", effects "
                        + entry.getValue().effects())
                .collect(ImmutableList.toImmutableList());
    }
}
