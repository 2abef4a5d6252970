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
    private final Map<TargetId, ModelId> desired = new TreeMap<>();

    ModelPlacement(ImmutableSet<ModelId> models) {
        this.models = models;
    }

    Optional<ModelId> desiredModel(TargetId engine) {
        return Optional.ofNullable(desired.get(engine));
    }

    void clear() {
        desired.clear();
    }

    /** Drops engines that are no longer listed and assigns a model to each new one, preferably a loaded one. */
    void updateEngines(Map<TargetId, EngineState> engines, ImmutableMap<ModelId, Double> demand) {
        desired.keySet().retainAll(engines.keySet());
        for (Map.Entry<TargetId, EngineState> entry : engines.entrySet()) {
            if (!desired.containsKey(entry.getKey())) {
                Optional<ModelId> loaded = models.stream()
                        .filter(entry.getValue().models::contains)
                        .max(Comparator.comparingDouble(model -> loadPerEngine(model, demand)));
                loaded.or(() -> mostLoadedModel(demand)).ifPresent(model -> desired.put(entry.getKey(), model));
            }
        }
    }

    /** Returns the most beneficial move, or empty if none is beneficial enough. */
    Optional<Move> bestMove(Map<TargetId, EngineState> engines, ImmutableMap<ModelId, Double> demand) {
        Optional<ModelId> to = mostLoadedModel(demand);
        if (to.isEmpty() || demand.getOrDefault(to.get(), 0.0) == 0 && engineCount(to.get()) > 0) {
            return Optional.empty();
        }
        return desired.values().stream()
                .distinct()
                .filter(from -> !from.equals(to.get()) && isGain(from, to.get(), demand))
                .min(Comparator.<ModelId>comparingDouble(from -> loadPerRemainingEngine(from, demand))
                        .thenComparing(ModelId::value))
                .flatMap(from -> leastUsedEngine(from, engines))
                .map(engine -> new Move(engine, to.get(), engineCount(to.get()) == 0));
    }

    void apply(Move move) {
        desired.put(move.engine, move.model);
    }

    private boolean isGain(ModelId from, ModelId to, ImmutableMap<ModelId, Double> demand) {
        if (engineCount(to) == 0) {
            return engineCount(from) > 1;
        }
        return engineCount(from) > 1 && loadPerEngine(to, demand) > MIN_GAIN * loadPerRemainingEngine(from, demand);
    }

    private Optional<TargetId> leastUsedEngine(ModelId model, Map<TargetId, EngineState> engines) {
        return desired.entrySet().stream()
                .filter(entry -> entry.getValue().equals(model))
                .map(Map.Entry::getKey)
                .min(Comparator.<TargetId>comparingLong(engine -> engines.get(engine).usedTokens)
                        .thenComparing(Comparator.naturalOrder()));
    }

    private Optional<ModelId> mostLoadedModel(ImmutableMap<ModelId, Double> demand) {
        return models.stream()
                .max(Comparator.<ModelId>comparingDouble(model -> loadPerEngine(model, demand))
                        .thenComparing(ModelId::value, Comparator.reverseOrder()));
    }

    /** Returns the demand per engine; infinite for a model without an engine. */
    private double loadPerEngine(ModelId model, ImmutableMap<ModelId, Double> demand) {
        int count = engineCount(model);
        return count == 0 ? Double.POSITIVE_INFINITY : demand.getOrDefault(model, 0.0) / count;
    }

    private double loadPerRemainingEngine(ModelId model, ImmutableMap<ModelId, Double> demand) {
        return demand.getOrDefault(model, 0.0) / (engineCount(model) - 1);
    }

    private int engineCount(ModelId model) {
        return (int) desired.values().stream().filter(model::equals).count();
    }

    /**
     * The assignment of another model to an engine.
     *
     * @param urgent whether no engine serves the model yet
     */
    record Move(TargetId engine, ModelId model, boolean urgent) {}
}
