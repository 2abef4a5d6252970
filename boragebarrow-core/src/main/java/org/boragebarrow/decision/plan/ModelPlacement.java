package org.boragebarrow.decision.plan;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;

/**
 * Assigns a desired model to each engine.
 *
 * <p>Follows demand by moving one engine at a time from the model whose load per engine would remain lowest to the
 * model with the highest load per engine. A move requires a minimum gain, so that the next one does not undo it.
 */
final class ModelPlacement {
    private static final double MIN_GAIN = 1.25;

    private final ImmutableSet<ModelId> models;
    private final Map<TargetId, ModelId> wanted = new TreeMap<>();

    ModelPlacement(ImmutableSet<ModelId> models) {
        this.models = models;
    }

    Optional<ModelId> wantedAt(TargetId engine) {
        return Optional.ofNullable(wanted.get(engine));
    }

    void clear() {
        wanted.clear();
    }

    /** Drops engines that are no longer listed and assigns a model to each new one, preferably a loaded one. */
    void assign(Map<TargetId, EngineState> engines, ImmutableMap<ModelId, Double> demand) {
        wanted.keySet().retainAll(engines.keySet());
        for (Map.Entry<TargetId, EngineState> entry : engines.entrySet()) {
            if (!wanted.containsKey(entry.getKey())) {
                Optional<ModelId> loaded = models.stream()
                        .filter(entry.getValue().models::contains)
                        .max(Comparator.comparingDouble(model -> load(model, demand)));
                loaded.or(() -> busiest(demand)).ifPresent(model -> wanted.put(entry.getKey(), model));
            }
        }
    }

    /** Returns the most beneficial move, or empty if none is beneficial enough. */
    Optional<Move> move(Map<TargetId, EngineState> engines, ImmutableMap<ModelId, Double> demand) {
        Optional<ModelId> to = busiest(demand);
        if (to.isEmpty() || demand.getOrDefault(to.get(), 0.0) == 0 && count(to.get()) > 0) {
            return Optional.empty();
        }
        return wanted.values().stream()
                .distinct()
                .filter(from -> !from.equals(to.get()) && isGain(from, to.get(), demand))
                .min(Comparator.<ModelId>comparingDouble(from -> loadWithout(from, demand))
                        .thenComparing(ModelId::value))
                .flatMap(from -> leastUsed(from, engines))
                .map(engine -> new Move(engine, to.get(), count(to.get()) == 0));
    }

    void apply(Move move) {
        wanted.put(move.engine, move.model);
    }

    private boolean isGain(ModelId from, ModelId to, ImmutableMap<ModelId, Double> demand) {
        if (count(to) == 0) {
            return count(from) > 1;
        }
        return count(from) > 1 && load(to, demand) > MIN_GAIN * loadWithout(from, demand);
    }

    private Optional<TargetId> leastUsed(ModelId model, Map<TargetId, EngineState> engines) {
        return wanted.entrySet().stream()
                .filter(entry -> entry.getValue().equals(model))
                .map(Map.Entry::getKey)
                .min(Comparator.<TargetId>comparingLong(engine -> engines.get(engine).usedTokens)
                        .thenComparing(Comparator.naturalOrder()));
    }

    private Optional<ModelId> busiest(ImmutableMap<ModelId, Double> demand) {
        return models.stream()
                .max(Comparator.<ModelId>comparingDouble(model -> load(model, demand))
                        .thenComparing(ModelId::value, Comparator.reverseOrder()));
    }

    /** Returns the demand per engine; infinite for a model without an engine. */
    private double load(ModelId model, ImmutableMap<ModelId, Double> demand) {
        int count = count(model);
        return count == 0 ? Double.POSITIVE_INFINITY : demand.getOrDefault(model, 0.0) / count;
    }

    private double loadWithout(ModelId model, ImmutableMap<ModelId, Double> demand) {
        return demand.getOrDefault(model, 0.0) / (count(model) - 1);
    }

    private int count(ModelId model) {
        return (int) wanted.values().stream().filter(model::equals).count();
    }

    /**
     * The assignment of another model to an engine.
     *
     * @param urgent whether no engine serves the model yet
     */
    record Move(TargetId engine, ModelId model, boolean urgent) {}
}
