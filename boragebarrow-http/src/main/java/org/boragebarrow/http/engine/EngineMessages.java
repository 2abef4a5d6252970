package org.boragebarrow.http.engine;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.port.EngineControl.CacheEvent;
import org.boragebarrow.port.EngineControl.CacheEvents;
import org.boragebarrow.port.EngineControl.ChangeRole;
import org.boragebarrow.port.EngineControl.Export;
import org.boragebarrow.port.EngineControl.Holdings;
import org.boragebarrow.port.EngineControl.LoadModel;
import org.boragebarrow.port.EngineControl.LoadReport;
import org.boragebarrow.port.EngineControl.Order;
import org.boragebarrow.port.EngineControl.Reservation;
import org.boragebarrow.port.EngineControl.Sequence;
import org.boragebarrow.port.EngineControl.UnloadModel;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Static methods that encode and decode the JSON messages of engines.
 *
 * <p>The {@code parse} and {@code read} methods throw {@link IllegalArgumentException} on a malformed message.
 */
public final class EngineMessages {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final String LOAD_MODEL = "load_model";
    private static final String UNLOAD_MODEL = "unload_model";
    private static final String CHANGE_ROLE = "change_role";

    private EngineMessages() {}

    /** Parses JSON. */
    public static JsonNode parse(byte[] json) {
        return parse(json, json.length);
    }

    /** Parses the first {@code length} bytes as JSON. */
    public static JsonNode parse(byte[] json, int length) {
        try {
            return MAPPER.readTree(json, 0, length);
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON: " + e.getMessage(), e);
        }
    }

    /** Encodes a load report. */
    public static ObjectNode write(LoadReport load) {
        ObjectNode node = NODES.objectNode()
                .put("age_ms", load.age().toMillis())
                .put("capacity_tokens", load.capacityTokens())
                .put("used_tokens", load.usedTokens())
                .put("batch_slots", load.batchSlots())
                .put("running", load.running())
                .put("queued", load.queued())
                .put("prefill_tokens_per_second", load.prefillTokensPerSecond())
                .put("decode_tokens_per_second", load.decodeTokensPerSecond())
                .put("role", load.role())
                .put("accepting", load.accepting());
        ArrayNode models = node.putArray("models");
        load.models().forEach(model -> models.add(model.value()));
        return node;
    }

    /** Decodes a load report. */
    public static LoadReport readLoad(JsonNode node) {
        ImmutableSet.Builder<ModelId> models = ImmutableSet.builder();
        for (JsonNode model : arrayField(node, "models")) {
            models.add(ModelId.of(model.asText()));
        }
        return new LoadReport(
                millisField(node, "age_ms"),
                longField(node, "capacity_tokens"),
                longField(node, "used_tokens"),
                Math.toIntExact(longField(node, "batch_slots")),
                Math.toIntExact(longField(node, "running")),
                Math.toIntExact(longField(node, "queued")),
                doubleField(node, "prefill_tokens_per_second"),
                doubleField(node, "decode_tokens_per_second"),
                models.build(),
                textField(node, "role"),
                booleanField(node, "accepting"));
    }

    /** Encodes the holdings of an engine. */
    public static ObjectNode write(Holdings holdings) {
        ObjectNode node = NODES.objectNode();
        ArrayNode sequences = node.putArray("sequences");
        for (Sequence sequence : holdings.sequences()) {
            sequences.add(holdingNode(sequence.attempt(), sequence.remaining(), sequence.tokens()));
        }
        ArrayNode reservations = node.putArray("reservations");
        for (Reservation reservation : holdings.reservations()) {
            reservations.add(holdingNode(reservation.attempt(), reservation.remaining(), reservation.tokens()));
        }
        ArrayNode exports = node.putArray("exports");
        for (Export export : holdings.exports()) {
            exports.addObject()
                    .put("id", export.id())
                    .put("attempt", export.attempt().toString())
                    .put("tokens", export.tokens());
        }
        return node;
    }

    private static ObjectNode holdingNode(AttemptId attempt, Duration remaining, long tokens) {
        return NODES.objectNode()
                .put("attempt", attempt.toString())
                .put("remaining_ms", remaining.toMillis())
                .put("tokens", tokens);
    }

    /** Decodes the holdings of an engine. */
    public static Holdings readHoldings(JsonNode node) {
        ImmutableList.Builder<Sequence> sequences = ImmutableList.builder();
        for (JsonNode item : arrayField(node, "sequences")) {
            sequences.add(
                    new Sequence(attemptField(item), millisField(item, "remaining_ms"), longField(item, "tokens")));
        }
        ImmutableList.Builder<Reservation> reservations = ImmutableList.builder();
        for (JsonNode item : arrayField(node, "reservations")) {
            reservations.add(
                    new Reservation(attemptField(item), millisField(item, "remaining_ms"), longField(item, "tokens")));
        }
        ImmutableList.Builder<Export> exports = ImmutableList.builder();
        for (JsonNode item : arrayField(node, "exports")) {
            exports.add(new Export(textField(item, "id"), attemptField(item), longField(item, "tokens")));
        }
        return new Holdings(sequences.build(), reservations.build(), exports.build());
    }

    /** Encodes cache events. */
    public static ObjectNode write(CacheEvents events) {
        ObjectNode node = NODES.objectNode().put("first", events.first()).put("next", events.next());
        ArrayNode items = node.putArray("events");
        for (CacheEvent event : events.events()) {
            items.addObject().put("block", event.blockHash()).put("stored", event.stored());
        }
        return node;
    }

    /** Decodes cache events. */
    public static CacheEvents readCacheEvents(JsonNode node) {
        ImmutableList.Builder<CacheEvent> events = ImmutableList.builder();
        for (JsonNode item : arrayField(node, "events")) {
            events.add(new CacheEvent(longField(item, "block"), booleanField(item, "stored")));
        }
        return new CacheEvents(longField(node, "first"), longField(node, "next"), events.build());
    }

    /** Encodes an order. */
    public static ObjectNode write(Order order, long fencingNumber) {
        ObjectNode node = NODES.objectNode().put("fencing", fencingNumber);
        return switch (order) {
            case LoadModel load ->
                node.put("type", LOAD_MODEL).put("model", load.model().value());
            case UnloadModel unload ->
                node.put("type", UNLOAD_MODEL).put("model", unload.model().value());
            case ChangeRole change -> node.put("type", CHANGE_ROLE).put("role", change.role());
        };
    }

    /** Decodes an order. */
    public static Order readOrder(JsonNode node) {
        String type = textField(node, "type");
        return switch (type) {
            case LOAD_MODEL -> new LoadModel(ModelId.of(textField(node, "model")));
            case UNLOAD_MODEL -> new UnloadModel(ModelId.of(textField(node, "model")));
            case CHANGE_ROLE -> new ChangeRole(textField(node, "role"));
            default -> throw new IllegalArgumentException("unknown order type: \"" + type + "\"");
        };
    }

    /** Decodes the fencing number of an order. */
    public static long readFencingNumber(JsonNode node) {
        return longField(node, "fencing");
    }

    /** Encodes a memory reservation request. */
    public static ObjectNode writeReservation(long tokens, Duration timeToLive) {
        return NODES.objectNode().put("tokens", tokens).put("ttl_ms", timeToLive.toMillis());
    }

    /** Decodes the size of a memory reservation request, in tokens. */
    public static long readReservedTokens(JsonNode node) {
        return longField(node, "tokens");
    }

    /** Decodes the time-to-live of a memory reservation request. */
    public static Duration readTimeToLive(JsonNode node) {
        return millisField(node, "ttl_ms");
    }

    private static AttemptId attemptField(JsonNode node) {
        return AttemptId.parse(textField(node, "attempt"));
    }

    private static Duration millisField(JsonNode node, String field) {
        return Duration.ofMillis(longField(node, field));
    }

    private static JsonNode arrayField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        checkArgument(value.isArray(), "\"%s\" is not an array: %s", field, value);
        return value;
    }

    private static long longField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        checkArgument(
                value.canConvertToLong() && value.isIntegralNumber(), "\"%s\" is not an integer: %s", field, value);
        return value.longValue();
    }

    private static double doubleField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        checkArgument(value.isNumber(), "\"%s\" is not a number: %s", field, value);
        return value.doubleValue();
    }

    private static String textField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        checkArgument(value.isTextual(), "\"%s\" is not a string: %s", field, value);
        return value.textValue();
    }

    private static boolean booleanField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        checkArgument(value.isBoolean(), "\"%s\" is not a boolean: %s", field, value);
        return value.booleanValue();
    }
}
