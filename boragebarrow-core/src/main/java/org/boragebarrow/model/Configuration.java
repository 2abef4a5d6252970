package org.boragebarrow.model;

import java.util.Optional;

import com.google.common.collect.ImmutableMap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The plans, allowances and target switches that are in effect after a given change.
 *
 * <p>Immutable. Number 0 is the empty configuration before the first change.
 *
 * @param number the number of the last change that is included
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

    /** Returns the empty configuration, which is in effect before the first change. */
    public static Configuration empty() {
        return EMPTY;
    }

    /** Returns the allowance of the organisation's plan, or empty if it has no plan or its plan has no allowance. */
    public Optional<Allowance> allowanceOf(OrganisationId organisation) {
        Plan plan = plans.get(checkNotNull(organisation));
        return plan == null ? Optional.empty() : Optional.ofNullable(allowances.get(plan.planId()));
    }

    /** Returns whether the target is enabled for new requests. A target without a switch is enabled. */
    public boolean isStarted(TargetId target) {
        TargetSwitch targetSwitch = switches.get(checkNotNull(target));
        return targetSwitch == null || targetSwitch.started();
    }
}
