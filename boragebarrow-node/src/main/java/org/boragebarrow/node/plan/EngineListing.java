package org.boragebarrow.node.plan;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.plan.PlannerEvent.Engine;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;

/**
 * A snapshot of the zone's engines.
 *
 * @param usable the engines that accept new requests
 */
record EngineListing(ImmutableList<Engine> engines, ImmutableList<Target> usable) {
    static EngineListing of(PlanDuty.Collaborators context, ImmutableSet<TargetId> unfenced) {
        ImmutableList.Builder<Engine> engines = ImmutableList.builder();
        ImmutableList.Builder<Target> usable = ImmutableList.builder();
        for (Target target : context.directory().inZone(context.members().zone())) {
            if (target.kind() != TargetKind.ENGINE) {
                continue;
            }
            boolean acceptsRequests = acceptsRequests(context, target);
            engines.add(new Engine(target.id(), !unfenced.contains(target.id()), acceptsRequests));
            if (acceptsRequests) {
                usable.add(target);
            }
        }
        return new EngineListing(engines.build(), usable.build());
    }

    private static boolean acceptsRequests(PlanDuty.Collaborators context, Target engine) {
        return !engine.leaving()
                && context.directory().isUsable(engine.id())
                && context.configuration().get().accepts(engine.id(), engine.zone());
    }
}
