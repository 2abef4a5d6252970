package org.boragebarrow.decision.claim;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;

/** Static methods for the keys and the JSON values of the table rows of claims. */
final class ClaimRows {
    /** The key of the row that holds the number of the current retention period. */
    static final String PERIOD_KEY = "claim-period";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClaimRows() {}

    static String prefix(OrganisationId organisation) {
        return "claim/" + organisation + "/";
    }

    static String encode(Claim claim) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("state", claim.state().name().toLowerCase(Locale.ROOT));
        node.put("attempt", claim.attempt().toString());
        node.put("requestHash", claim.requestHash());
        node.put("period", claim.period());
        claim.answer().ifPresent(answer -> writeAnswer(answer, node.putObject("answer")));
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static Claim decode(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return new Claim(
                    Claim.State.valueOf(requiredField(node, "state").textValue().toUpperCase(Locale.ROOT)),
                    AttemptId.parse(requiredField(node, "attempt").textValue()),
                    requiredField(node, "requestHash").textValue(),
                    requiredField(node, "period").longValue(),
                    Optional.ofNullable(node.get("answer")).map(ClaimRows::readAnswer));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("claim row is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static void writeAnswer(ClaimAnswer answer, ObjectNode into) {
        into.put("status", answer.status());
        ArrayNode headers = into.putArray("headers");
        for (Map.Entry<String, String> header : answer.headers().entries()) {
            headers.addArray().add(header.getKey()).add(header.getValue());
        }
        switch (answer.body()) {
            case ClaimAnswer.Inline inline -> into.put("body", inline.base64());
            case ClaimAnswer.Stored stored -> into.put("object", stored.objectKey());
        }
    }

    private static ClaimAnswer readAnswer(JsonNode node) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        for (JsonNode header : requiredField(node, "headers")) {
            headers.put(header.path(0).asText(), header.path(1).asText());
        }
        ClaimAnswer.Body body = node.has("object")
                ? new ClaimAnswer.Stored(requiredField(node, "object").textValue())
                : new ClaimAnswer.Inline(requiredField(node, "body").textValue());
        return new ClaimAnswer(requiredField(node, "status").intValue(), headers.build(), body);
    }

    private static JsonNode requiredField(JsonNode object, String name) {
        JsonNode field = object.get(name);
        checkArgument(field != null, "claim row has no field %s", name);
        return field;
    }
}
