package org.boragebarrow.decision.change;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Static factory methods for entries in tests. */
final class Changes {
    private Changes() {}

    static ChangeEntry plan(String organisation, String plan) {
        String hash = Hashing.sha256().hashString(organisation, UTF_8).toString();
        return ChangeEntry.PlanEntry.set(
                new Plan(OrganisationId.of(organisation), PlanId.of(plan), ImmutableSet.of(hash)));
    }

    static ChangeEntry deletedPlan(String organisation) {
        return ChangeEntry.PlanEntry.deleted(OrganisationId.of(organisation));
    }

    static ChangeEntry allowance(String plan, int weight) {
        return ChangeEntry.AllowanceEntry.set(new Allowance(
                PlanId.of(plan),
                60_000,
                8,
                1_000_000,
                weight,
                Duration.ofSeconds(30),
                Duration.ofMinutes(10),
                ImmutableSet.of(ModelId.of("draft")),
                ImmutableSet.of(ServiceName.of("furnace"), ServiceName.of("desk"))));
    }

    static ChangeEntry targetSwitch(String target, boolean started) {
        return ChangeEntry.SwitchEntry.set(new TargetSwitch(TargetId.of(target), started));
    }
}
