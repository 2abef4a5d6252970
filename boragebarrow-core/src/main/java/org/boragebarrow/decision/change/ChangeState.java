package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The configuration after one change, with the version of each entry.
 *
 * @param versions the number of the last change to each entry that exists
 */
public record ChangeState(Configuration configuration, ImmutableSortedMap<EntryKey, Long> versions) {
    private static final ChangeState EMPTY = new ChangeState(Configuration.empty(), ImmutableSortedMap.of());

    public ChangeState {
        checkNotNull(configuration);
        checkNotNull(versions);
    }

    /** Returns the state before the first change. */
    public static ChangeState empty() {
        return EMPTY;
    }

    /** Returns the number of the last change. */
    public long number() {
        return configuration.number();
    }

    /** Returns the entry's version, or 0 if it does not exist. */
    public long versionOf(EntryKey key) {
        return versions.getOrDefault(checkNotNull(key), 0L);
    }

    /** Returns the entry's current value, or a deletion if the entry does not exist. */
    public ChangeEntry entryOf(EntryKey key) {
        String id = key.id();
        Configuration current = configuration;
        return switch (key.kind()) {
            case PLAN -> {
                OrganisationId organisation = OrganisationId.of(id);
                yield new ChangeEntry.PlanEntry(
                        organisation, Optional.ofNullable(current.plans().get(organisation)));
            }
            case ALLOWANCE -> {
                PlanId plan = PlanId.of(id);
                yield new ChangeEntry.AllowanceEntry(
                        plan, Optional.ofNullable(current.allowances().get(plan)));
            }
            case SWITCH -> {
                TargetId target = TargetId.of(id);
                yield new ChangeEntry.SwitchEntry(
                        target, Optional.ofNullable(current.switches().get(target)));
            }
            case ZONE -> {
                AvailabilityZoneId zone = AvailabilityZoneId.of(id);
                yield new ChangeEntry.ZoneEntry(zone, current.emptiedZones().contains(zone));
            }
        };
    }

    /** Returns the state after the given change, whose number must directly follow this state's number. */
    public ChangeState apply(Change change) {
        checkArgument(
                change.number() == number() + 1,
                "change %s does not directly follow change %s",
                change.number(),
                number());
        return new ChangeState(configure(change), version(change));
    }

    private Configuration configure(Change change) {
        Configuration current = configuration;
        return switch (change.entry()) {
            case ChangeEntry.PlanEntry entry ->
                new Configuration(
                        change.number(),
                        with(
                                current.plans(),
                                entry.organisation(),
                                entry.value().orElse(null)),
                        current.allowances(),
                        current.switches(),
                        current.emptiedZones());
            case ChangeEntry.AllowanceEntry entry ->
                new Configuration(
                        change.number(),
                        current.plans(),
                        with(current.allowances(), entry.plan(), entry.value().orElse(null)),
                        current.switches(),
                        current.emptiedZones());
            case ChangeEntry.SwitchEntry entry ->
                new Configuration(
                        change.number(),
                        current.plans(),
                        current.allowances(),
                        with(current.switches(), entry.target(), entry.value().orElse(null)),
                        current.emptiedZones());
            case ChangeEntry.ZoneEntry entry ->
                new Configuration(
                        change.number(),
                        current.plans(),
                        current.allowances(),
                        current.switches(),
                        withZone(current.emptiedZones(), entry));
        };
    }

    private static ImmutableSet<AvailabilityZoneId> withZone(
            ImmutableSet<AvailabilityZoneId> zones, ChangeEntry.ZoneEntry entry) {
        ImmutableSet<AvailabilityZoneId> zone = ImmutableSet.of(entry.zone());
        return (entry.emptied() ? Sets.union(zones, zone) : Sets.difference(zones, zone)).immutableCopy();
    }

    private ImmutableSortedMap<EntryKey, Long> version(Change change) {
        EntryKey key = change.entry().key();
        Long number = change.entry().isDeletion() ? null : change.number();
        return ImmutableSortedMap.copyOf(with(versions, key, number));
    }

    private static <K, V> ImmutableMap<K, V> with(ImmutableMap<K, V> map, K key, V valueOrNull) {
        ImmutableMap.Builder<K, V> copy = ImmutableMap.builderWithExpectedSize(map.size() + 1);
        for (var each : map.entrySet()) {
            if (!each.getKey().equals(key)) {
                copy.put(each);
            }
        }
        if (valueOrNull != null) {
            copy.put(key, valueOrNull);
        }
        return copy.buildOrThrow();
    }
}
