package org.boragebarrow.model;

import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The plans, allowances and target switches that are in effect after a given change.
 *
 * <p>Immutable. Number 0 is the empty configuration before the first change.
 *
 * @param number the number of the last change that is included
 * @param emptiedZones the zones whose targets get no new requests
 */
public record Configuration(
        long number,
        ImmutableMap<OrganisationId, Plan> plans,
        ImmutableMap<PlanId, Allowance> allowances,
        ImmutableMap<TargetId, TargetSwitch> switches,
        ImmutableSet<AvailabilityZoneId> emptiedZones) {
    private static final Configuration EMPTY =
            new Configuration(0, ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());

    public Configuration {
        checkArgument(number >= 0, "change number must not be negative: %s", number);
        checkNotNull(plans);
        checkNotNull(allowances);
        checkNotNull(switches);
        checkNotNull(emptiedZones);
    }

    /** Creates a configuration without emptied zones. */
    public Configuration(
            long number,
            ImmutableMap<OrganisationId, Plan> plans,
            ImmutableMap<PlanId, Allowance> allowances,
            ImmutableMap<TargetId, TargetSwitch> switches) {
        this(number, plans, allowances, switches, ImmutableSet.of());
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

    /** Returns whether the target of the zone is enabled for new requests: it is started, and its zone is not emptied. */
    public boolean accepts(TargetId target, AvailabilityZoneId zone) {
        return isStarted(target) && !emptiedZones.contains(zone);
    }

    /** Returns whether the target is started. A target without a switch is. */
    public boolean isStarted(TargetId target) {
        TargetSwitch targetSwitch = switches.get(checkNotNull(target));
        return targetSwitch == null || targetSwitch.started();
    }
}
