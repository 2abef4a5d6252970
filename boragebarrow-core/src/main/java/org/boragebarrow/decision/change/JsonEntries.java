package org.boragebarrow.decision.change;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Enums;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

/** Static methods that convert entries to and from JSON. */
final class JsonEntries {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final int HASH_DIGITS = Hashing.sha256().bits() / 4;
    private static final ImmutableSet<String> PLAN_FIELDS = ImmutableSet.of("plan", "keyHashes");
    private static final ImmutableSet<String> SWITCH_FIELDS = ImmutableSet.of("started");
    private static final ImmutableSet<String> ZONE_FIELDS = ImmutableSet.of("emptied");
    private static final ImmutableSet<String> ALLOWANCE_FIELDS = ImmutableSet.of(
            "tokensPerMinute",
            "maxConcurrent",
            "maxPromptTokens",
            "weight",
            "defaultTimeoutMs",
            "maxTimeoutMs",
            "models",
            "services");

    private JsonEntries() {}

    /** Writes the entry's fields {@code kind}, {@code id} and {@code value} into the object. */
    static void write(ChangeEntry entry, ObjectNode into) {
        EntryKey key = entry.key();
        into.put("kind", key.kind().name().toLowerCase(Locale.ROOT));
        into.put("id", key.id());
        into.set("value", value(entry));
    }

    /** Reads an entry that was written by {@link #write}. */
    static ChangeEntry read(JsonNode object) {
        String name = JsonFields.text(object, "kind");
        Optional<EntryKey.Kind> kind = Enums.getIfPresent(EntryKey.Kind.class, name.toUpperCase(Locale.ROOT))
                .toJavaUtil();
        checkArgument(kind.isPresent(), "kind: unknown: \"%s\"", name);
        EntryKey key = new EntryKey(kind.get(), JsonFields.text(object, "id"));
        return readValue(key, JsonFields.required(object, "value"));
    }

    /** Returns the JSON of the entry's value, or a JSON null for a deletion. */
    static JsonNode value(ChangeEntry entry) {
        return switch (entry) {
            case ChangeEntry.PlanEntry plan ->
                plan.value().map(JsonEntries::plan).orElse(NullNode.instance);
            case ChangeEntry.AllowanceEntry allowance ->
                allowance.value().map(JsonEntries::allowance).orElse(NullNode.instance);
            case ChangeEntry.SwitchEntry targetSwitch ->
                targetSwitch.value().map(JsonEntries::targetSwitch).orElse(NullNode.instance);
            case ChangeEntry.ZoneEntry zone ->
                zone.emptied() ? NODES.objectNode().put("emptied", true) : NullNode.instance;
        };
    }

    /** Reads the value of the entry with the given key; a JSON null is a deletion. */
    static ChangeEntry readValue(EntryKey key, JsonNode value) {
        checkArgument(value.isNull() || value.isObject(), "value: neither an object nor null");
        return switch (key.kind()) {
            case PLAN -> readPlan(OrganisationId.of(key.id()), value);
            case ALLOWANCE -> readAllowance(PlanId.of(key.id()), value);
            case SWITCH -> readSwitch(TargetId.of(key.id()), value);
            case ZONE -> readZone(AvailabilityZoneId.of(key.id()), value);
        };
    }

    private static JsonNode plan(Plan plan) {
        ObjectNode node = NODES.objectNode();
        node.put("plan", plan.planId().value());
        node.set("keyHashes", sorted(plan.keyHashes()));
        return node;
    }

    private static ChangeEntry readPlan(OrganisationId organisation, JsonNode value) {
        if (value.isNull()) {
            return ChangeEntry.PlanEntry.deleted(organisation);
        }
        JsonFields.checkFields(value, PLAN_FIELDS);
        ImmutableSet<String> hashes = JsonFields.texts(value, "keyHashes");
        for (String hash : hashes) {
            checkArgument(isHash(hash), "keyHashes: not a lower-case hexadecimal SHA-256 hash: \"%s\"", hash);
        }
        PlanId plan = PlanId.of(JsonFields.text(value, "plan"));
        return ChangeEntry.PlanEntry.set(new Plan(organisation, plan, hashes));
    }

    private static JsonNode allowance(Allowance allowance) {
        ObjectNode node = NODES.objectNode();
        node.put("tokensPerMinute", allowance.tokensPerMinute());
        node.put("maxConcurrent", allowance.maxConcurrent());
        node.put("maxPromptTokens", allowance.maxPromptTokens());
        node.put("weight", allowance.weight());
        node.put("defaultTimeoutMs", allowance.defaultTimeout().toMillis());
        node.put("maxTimeoutMs", allowance.maxTimeout().toMillis());
        node.set("models", sorted(allowance.models()));
        node.set("services", sorted(allowance.services()));
        return node;
    }

    private static ChangeEntry readAllowance(PlanId plan, JsonNode value) {
        if (value.isNull()) {
            return ChangeEntry.AllowanceEntry.deleted(plan);
        }
        JsonFields.checkFields(value, ALLOWANCE_FIELDS);
        return ChangeEntry.AllowanceEntry.set(new Allowance(
                plan,
                JsonFields.number(value, "tokensPerMinute"),
                JsonFields.intNumber(value, "maxConcurrent"),
                JsonFields.intNumber(value, "maxPromptTokens"),
                JsonFields.intNumber(value, "weight"),
                JsonFields.millis(value, "defaultTimeoutMs"),
                JsonFields.millis(value, "maxTimeoutMs"),
                JsonFields.texts(value, "models").stream().map(ModelId::of).collect(toImmutableSet()),
                JsonFields.texts(value, "services").stream()
                        .map(ServiceName::of)
                        .collect(toImmutableSet())));
    }

    private static JsonNode targetSwitch(TargetSwitch targetSwitch) {
        return NODES.objectNode().put("started", targetSwitch.started());
    }

    private static ChangeEntry readSwitch(TargetId target, JsonNode value) {
        if (value.isNull()) {
            return ChangeEntry.SwitchEntry.deleted(target);
        }
        JsonFields.checkFields(value, SWITCH_FIELDS);
        return ChangeEntry.SwitchEntry.set(new TargetSwitch(target, JsonFields.bool(value, "started")));
    }

    private static ChangeEntry readZone(AvailabilityZoneId zone, JsonNode value) {
        if (value.isNull()) {
            return new ChangeEntry.ZoneEntry(zone, false);
        }
        JsonFields.checkFields(value, ZONE_FIELDS);
        checkArgument(JsonFields.bool(value, "emptied"), "emptied: not true; delete the entry to take the zone back");
        return new ChangeEntry.ZoneEntry(zone, true);
    }

    private static boolean isHash(String text) {
        return text.length() == HASH_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f');
    }

    private static ArrayNode sorted(Collection<?> elements) {
        ArrayNode array = NODES.arrayNode();
        elements.stream().map(Object::toString).sorted().forEach(array::add);
        return array;
    }
}
