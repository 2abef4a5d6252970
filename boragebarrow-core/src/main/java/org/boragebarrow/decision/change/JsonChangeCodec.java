package org.boragebarrow.decision.change;

import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A codec that encodes changes and states as JSON.
 *
 * <p>Thread-safe.
 */
public final class JsonChangeCodec implements ChangeCodec {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final ImmutableSet<String> CHANGE_FIELDS =
            ImmutableSet.of("number", "changeId", "kind", "id", "value");
    private static final ImmutableSet<String> STATE_FIELDS = ImmutableSet.of("number", "entries");
    private static final ImmutableSet<String> ENTRY_FIELDS = ImmutableSet.of("version", "kind", "id", "value");

    /** Returns the JSON of an entry's value alone, as the admin API returns it; {@code null} for a deletion. */
    public static String encodeValue(ChangeEntry entry) {
        return JsonFields.print(JsonEntries.value(entry));
    }

    /**
     * Decodes an entry's value alone, as an operator sends it.
     *
     * @throws IllegalArgumentException if the text is not a valid value for the key; the message names the invalid
     *     field
     */
    public static ChangeEntry decodeValue(EntryKey key, String json) {
        return JsonEntries.readValue(key, JsonFields.parse(json));
    }

    @Override
    public String encode(Change change) {
        ObjectNode node = NODES.objectNode();
        node.put("number", change.number());
        node.put("changeId", change.changeId());
        JsonEntries.write(change.entry(), node);
        return JsonFields.print(node);
    }

    @Override
    public Change decode(String text) {
        JsonNode node = JsonFields.parse(text);
        JsonFields.checkFields(node, CHANGE_FIELDS);
        return new Change(JsonFields.number(node, "number"), JsonFields.text(node, "changeId"), JsonEntries.read(node));
    }

    @Override
    public String encodeState(ChangeState state) {
        ObjectNode node = NODES.objectNode();
        node.put("number", state.number());
        ArrayNode entries = node.putArray("entries");
        for (Map.Entry<EntryKey, Long> each : state.versions().entrySet()) {
            ObjectNode entry = entries.addObject();
            entry.put("version", each.getValue());
            JsonEntries.write(state.entryOf(each.getKey()), entry);
        }
        return JsonFields.print(node);
    }

    @Override
    public ChangeState decodeState(String text) {
        JsonNode node = JsonFields.parse(text);
        JsonFields.checkFields(node, STATE_FIELDS);
        long number = JsonFields.number(node, "number");
        ImmutableMap.Builder<OrganisationId, Plan> plans = ImmutableMap.builder();
        ImmutableMap.Builder<PlanId, Allowance> allowances = ImmutableMap.builder();
        ImmutableMap.Builder<TargetId, TargetSwitch> switches = ImmutableMap.builder();
        ImmutableSet.Builder<AvailabilityZoneId> emptiedZones = ImmutableSet.builder();
        ImmutableSortedMap.Builder<EntryKey, Long> versions = ImmutableSortedMap.naturalOrder();
        for (JsonNode each : JsonFields.array(node, "entries")) {
            JsonFields.checkFields(each, ENTRY_FIELDS);
            long version = JsonFields.number(each, "version");
            checkArgument(version > 0 && version <= number, "version: out of range: %s", version);
            ChangeEntry entry = JsonEntries.read(each);
            checkArgument(!entry.isDeletion(), "value: missing for %s", entry.key());
            switch (entry) {
                case ChangeEntry.PlanEntry plan -> put(plans, plan.organisation(), plan.value());
                case ChangeEntry.AllowanceEntry allowance -> put(allowances, allowance.plan(), allowance.value());
                case ChangeEntry.SwitchEntry targetSwitch -> put(switches, targetSwitch.target(), targetSwitch.value());
                case ChangeEntry.ZoneEntry zone -> emptiedZones.add(zone.zone());
            }
            versions.put(entry.key(), version);
        }
        Configuration configuration = new Configuration(
                number, plans.buildOrThrow(), allowances.buildOrThrow(), switches.buildOrThrow(), emptiedZones.build());
        return new ChangeState(configuration, versions.buildOrThrow());
    }

    private static <K, V> void put(ImmutableMap.Builder<K, V> map, K key, Optional<V> value) {
        map.put(key, value.orElseThrow());
    }
}
