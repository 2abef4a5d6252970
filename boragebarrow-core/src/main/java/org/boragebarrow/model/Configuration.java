package org.boragebarrow.model;

import java.util.Optional;

import com.google.common.collect.ImmutableMap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * All plans, allowances and target switches that are in force after one change number.
 *
 * <p>Immutable. Number 0 is the empty configuration before the first change.
 */
public record Configuration(
        long number,
        ImmutableMap<OrganisationId, Plan> plans,
        ImmutableMap<PlanId, Allowance> allowances,
        ImmutableMap<TargetId, TargetSwitch> switches) {
    private static final Configuration EMPTY =
            new Configuration(0, ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());

    public Configuration {
        checkArgument(number >= 0, "change number must not be negative: %s", number);
        checkNotNull(plans);
        checkNotNull(allowances);
        checkNotNull(switches);
    }

    /** Returns the configuration before the first change. */
    public static Configuration empty() {
        return EMPTY;
    }

    /** Returns what the organisation's plan may use, or empty if it has no plan or its plan has no allowance. */
    public Optional<Allowance> allowanceOf(OrganisationId organisation) {
        Plan plan = plans.get(checkNotNull(organisation));
        return plan == null ? Optional.empty() : Optional.ofNullable(allowances.get(plan.plan()));
    }

    /** Returns whether operators let the target take new work; a target without a switch is started. */
    public boolean isStarted(TargetId target) {
        TargetSwitch order = switches.get(checkNotNull(target));
        return order == null || order.started();
    }
}
