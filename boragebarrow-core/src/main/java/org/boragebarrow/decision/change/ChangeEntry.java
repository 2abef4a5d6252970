package org.boragebarrow.decision.change;

import java.util.Optional;

import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The new value of one entry; an empty value deletes the entry. */
public sealed interface ChangeEntry {
    /** Returns the key of the entry. */
    EntryKey key();

    /** Returns whether the entry is deleted. */
    boolean isDeletion();

    /** The plan of an organisation. */
    record PlanEntry(OrganisationId organisation, Optional<Plan> value) implements ChangeEntry {
        public PlanEntry {
            checkNotNull(organisation);
            checkArgument(
                    value.isEmpty() || value.get().organisation().equals(organisation),
                    "plan %s does not belong to organisation %s",
                    value,
                    organisation);
        }

        /** Returns the entry that sets the plan. */
        public static PlanEntry set(Plan plan) {
            return new PlanEntry(plan.organisation(), Optional.of(plan));
        }

        /** Returns the entry that deletes the organisation's plan. */
        public static PlanEntry deleted(OrganisationId organisation) {
            return new PlanEntry(organisation, Optional.empty());
        }

        @Override
        public EntryKey key() {
            return new EntryKey(EntryKey.Kind.PLAN, organisation.value());
        }

        @Override
        public boolean isDeletion() {
            return value.isEmpty();
        }
    }

    /** The allowance of a plan. */
    record AllowanceEntry(PlanId plan, Optional<Allowance> value) implements ChangeEntry {
        public AllowanceEntry {
            checkNotNull(plan);
            checkArgument(
                    value.isEmpty() || value.get().plan().equals(plan),
                    "allowance %s does not belong to plan %s",
                    value,
                    plan);
        }

        /** Returns the entry that sets the allowance. */
        public static AllowanceEntry set(Allowance allowance) {
            return new AllowanceEntry(allowance.plan(), Optional.of(allowance));
        }

        /** Returns the entry that deletes the plan's allowance. */
        public static AllowanceEntry deleted(PlanId plan) {
            return new AllowanceEntry(plan, Optional.empty());
        }

        @Override
        public EntryKey key() {
            return new EntryKey(EntryKey.Kind.ALLOWANCE, plan.value());
        }

        @Override
        public boolean isDeletion() {
            return value.isEmpty();
        }
    }

    /** The start or stop switch of a target. */
    record SwitchEntry(TargetId target, Optional<TargetSwitch> value) implements ChangeEntry {
        public SwitchEntry {
            checkNotNull(target);
            checkArgument(
                    value.isEmpty() || value.get().target().equals(target),
                    "switch %s does not belong to target %s",
                    value,
                    target);
        }

        /** Returns the entry that sets the switch. */
        public static SwitchEntry set(TargetSwitch targetSwitch) {
            return new SwitchEntry(targetSwitch.target(), Optional.of(targetSwitch));
        }

        /** Returns the entry that deletes the target's switch. */
        public static SwitchEntry deleted(TargetId target) {
            return new SwitchEntry(target, Optional.empty());
        }

        @Override
        public EntryKey key() {
            return new EntryKey(EntryKey.Kind.SWITCH, target.value());
        }

        @Override
        public boolean isDeletion() {
            return value.isEmpty();
        }
    }

    /**
     * A zone that operators empty, or take back.
     *
     * @param emptied whether its targets get no new requests; false deletes the entry
     */
    record ZoneEntry(AvailabilityZoneId zone, boolean emptied) implements ChangeEntry {
        public ZoneEntry {
            checkNotNull(zone);
        }

        @Override
        public EntryKey key() {
            return new EntryKey(EntryKey.Kind.ZONE, zone.value());
        }

        @Override
        public boolean isDeletion() {
            return !emptied;
        }
    }
}
