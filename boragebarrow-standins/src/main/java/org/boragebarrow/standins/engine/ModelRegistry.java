package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.port.EngineControl.ChangeRole;
import org.boragebarrow.port.EngineControl.LoadModel;
import org.boragebarrow.port.EngineControl.Order;
import org.boragebarrow.port.EngineControl.UnloadModel;

/** The loaded models and the role of an engine; orders change both. */
final class ModelRegistry {
    private final boolean checksFencing;
    private final long loadNanos;
    private final Map<ModelId, Long> readyNanos = new HashMap<>();
    private String role;
    private long highestFencingNumber = Long.MIN_VALUE;

    ModelRegistry(boolean checksFencing, Duration loadTime, ImmutableSet<ModelId> models, String role, long nowNanos) {
        this.checksFencing = checksFencing;
        this.loadNanos = loadTime.toNanos();
        this.role = role;
        models.forEach(model -> readyNanos.put(model, nowNanos));
    }

    /** Applies the order; returns {@code false} if the engine checks fencing numbers and this one is old. */
    boolean apply(Order order, long fencingNumber, long nowNanos) {
        if (checksFencing && fencingNumber < highestFencingNumber) {
            return false;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        switch (order) {
            case LoadModel load -> readyNanos.putIfAbsent(load.model(), nowNanos + loadNanos);
            case UnloadModel unload -> readyNanos.remove(unload.model());
            case ChangeRole change -> role = change.role();
        }
        return true;
    }

    boolean isLoaded(ModelId model, long nowNanos) {
        Long ready = readyNanos.get(model);
        return ready != null && ready <= nowNanos;
    }

    ImmutableSet<ModelId> loaded(long nowNanos) {
        ImmutableSet.Builder<ModelId> loaded = ImmutableSet.builder();
        readyNanos.forEach((model, ready) -> {
            if (ready <= nowNanos) {
                loaded.add(model);
            }
        });
        return loaded.build();
    }

    String role() {
        return role;
    }
}
