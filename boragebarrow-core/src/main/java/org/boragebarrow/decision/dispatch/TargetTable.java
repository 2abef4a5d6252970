package org.boragebarrow.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;

/** The zone's targets, grouped into pools by model and service. */
final class TargetTable {
    private final AvailabilityZoneId zone;
    private final DispatchSettings settings;
    private final TreeMap<TargetId, TargetView> views = new TreeMap<>();
    private final Map<ModelId, ModelPool> modelPools = new HashMap<>();
    private final Map<ServiceName, ServicePool> servicePools = new HashMap<>();
    private final Map<TargetId, ServiceName> serviceByTarget = new HashMap<>();

    TargetTable(AvailabilityZoneId zone, DispatchSettings settings) {
        this.zone = zone;
        this.settings = settings;
    }

    /** Replaces the list of targets; returns the ids that were added and removed. */
    Changes replaceTargets(ImmutableList<Target> targets, Configuration configuration) {
        List<TargetId> added = new ArrayList<>();
        Set<TargetId> removed = new HashSet<>(views.keySet());
        for (Target t : targets) {
            if (!t.zone().equals(zone)) {
                continue;
            }
            removed.remove(t.id());
            if (addOrUpdate(t, configuration)) {
                added.add(t.id());
            }
        }
        for (TargetId id : removed) {
            views.remove(id);
            serviceByTarget.remove(id);
        }
        rebuildPools();
        return new Changes(ImmutableList.copyOf(added), ImmutableList.copyOf(removed));
    }

    private boolean addOrUpdate(Target target, Configuration configuration) {
        TargetView view = views.get(target.id());
        boolean engine = target.kind() == TargetKind.ENGINE;
        boolean added = view == null || view instanceof EngineView != engine;
        if (added) {
            view = engine ? new EngineView(target.id(), settings) : new ServiceView(target.id());
            views.put(target.id(), view);
        }
        view.setTarget(target);
        view.configure(configuration);
        target.service().ifPresent(s -> serviceByTarget.put(target.id(), s));
        return added;
    }

    void configure(Configuration configuration) {
        for (TargetView v : views.values()) {
            v.configure(configuration);
        }
    }

    /** Rebuilds the pools after the list or the served models changed. */
    void rebuildPools() {
        for (ServiceName s : serviceByTarget.values()) {
            servicePools.computeIfAbsent(s, n -> new ServicePool(n, settings));
        }
        for (TargetView v : views.values()) {
            if (v instanceof EngineView e) {
                e.models().forEach(this::getOrCreatePool);
            }
        }
        modelPools.values().forEach(p -> p.setEngines(enginesFor(p.model)));
        modelPools.values().removeIf(p -> p.engines().isEmpty() && p.isIdle());
        servicePools.values().forEach(p -> p.setTargets(targetsFor(p.service)));
        servicePools.values().removeIf(p -> p.targets().isEmpty() && p.queue.isEmpty());
    }

    Optional<TargetView> get(TargetId id) {
        return Optional.ofNullable(views.get(id));
    }

    Optional<EngineView> engine(TargetId id) {
        return views.get(id) instanceof EngineView e ? Optional.of(e) : Optional.empty();
    }

    Iterable<ModelPool> modelPools() {
        return modelPools.values();
    }

    Iterable<ServicePool> servicePools() {
        return servicePools.values();
    }

    /** Returns the model's pool; engines that have not reported yet are assumed to serve it if no other engine does. */
    Optional<ModelPool> modelPool(ModelId model) {
        ModelPool known = modelPools.get(model);
        if (known != null) {
            return Optional.of(known);
        }
        ImmutableList<EngineView> engines = enginesFor(model);
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        getOrCreatePool(model).setEngines(engines);
        return Optional.of(getOrCreatePool(model));
    }

    Optional<ServicePool> servicePool(ServiceName service) {
        return Optional.ofNullable(servicePools.get(service));
    }

    boolean hasEngines() {
        for (TargetView v : views.values()) {
            if (v instanceof EngineView) {
                return true;
            }
        }
        return false;
    }

    Iterable<TargetView> all() {
        return views.values();
    }

    private ModelPool getOrCreatePool(ModelId model) {
        return modelPools.computeIfAbsent(
                model, m -> new ModelPool(m, settings.order().maxOvertakes()));
    }

    private ImmutableList<EngineView> enginesFor(ModelId model) {
        ImmutableList.Builder<EngineView> serving = ImmutableList.builder();
        ImmutableList.Builder<EngineView> unknown = ImmutableList.builder();
        for (TargetView v : views.values()) {
            if (!(v instanceof EngineView e)) {
                continue;
            }
            if (!e.isReported()) {
                unknown.add(e);
            } else if (e.models().contains(model)) {
                serving.add(e);
            }
        }
        ImmutableList<EngineView> known = serving.build();
        return known.isEmpty() ? unknown.build() : known;
    }

    private ImmutableList<ServiceView> targetsFor(ServiceName service) {
        ImmutableList.Builder<ServiceView> found = ImmutableList.builder();
        for (TargetView v : views.values()) {
            if (v instanceof ServiceView s && service.equals(serviceByTarget.get(s.id))) {
                found.add(s);
            }
        }
        return found.build();
    }

    /** The targets that a new list added and removed. */
    record Changes(ImmutableList<TargetId> added, ImmutableList<TargetId> removed) {}
}
