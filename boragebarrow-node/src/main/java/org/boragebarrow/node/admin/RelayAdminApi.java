package org.boragebarrow.node.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.base.Throwables;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.decision.quarantine.PartKey;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.http.server.ServerHandler;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.node.front.ErrorBodies;
import org.boragebarrow.node.quarantine.QuarantineDuty;
import org.boragebarrow.node.relay.HostStatus;
import org.boragebarrow.node.settings.Secret;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Serves the operators' HTTP API of a host that relays requests: {@code GET /admin/v1/status} returns its view of the deployment,
 * {@code GET /admin/v1/quarantine} lists the quarantine, {@code PUT} and {@code DELETE /admin/v1/quarantine/SERVICE/PART}
 * quarantine a part and lift its quarantine. Thread-safe.
 */
public final class RelayAdminApi implements ServerHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Splitter PATH_SPLITTER = Splitter.on('/').omitEmptyStrings();
    private static final String OPERATOR_HEADER = "operator";
    private static final List<String> STATUS_PATH = List.of("admin", "v1", "status");
    private static final int COLLECTION_SEGMENTS = 3;
    private static final int ENTRY_SEGMENTS = 5;
    private static final int OK = 200;

    private final OperatorToken token;
    private final QuarantineDuty quarantine;
    private final Supplier<CompletableFuture<HostStatus>> status;

    /** Creates an API that accepts a single token. */
    public RelayAdminApi(Secret token, QuarantineDuty quarantine, Supplier<CompletableFuture<HostStatus>> status) {
        this.token = new OperatorToken(token);
        this.quarantine = checkNotNull(quarantine);
        this.status = checkNotNull(status);
    }

    @Override
    public void onRefused(RequestException refusal, ServerResponse response) {
        ErrorBodies.send(response, refusal, Optional.empty());
    }

    @Override
    public void onRequest(ServerRequest request, ServerResponse response) {
        token.check(request);
        List<String> path = PATH_SPLITTER.splitToList(request.path());
        if (path.equals(STATUS_PATH) && request.method().equals("GET")) {
            respond(response, status.get().thenApply(HostStatusPage::of));
            return;
        }
        boolean known = path.size() >= COLLECTION_SEGMENTS
                && path.subList(0, COLLECTION_SEGMENTS).equals(List.of("admin", "v1", "quarantine"));
        if (known && path.size() == COLLECTION_SEGMENTS && request.method().equals("GET")) {
            respond(response, quarantine.list().thenApply(RelayAdminApi::toJson));
        } else if (known && path.size() == ENTRY_SEGMENTS) {
            edit(request, path.get(COLLECTION_SEGMENTS), path.get(ENTRY_SEGMENTS - 1), response);
        } else {
            throw RequestException.of(
                    ErrorKind.NOT_FOUND, "no resource for " + request.method() + " at " + request.path());
        }
    }

    private void edit(ServerRequest request, String service, String part, ServerResponse response) {
        boolean lifted = switch (request.method()) {
            case "PUT" -> false;
            case "DELETE" -> true;
            default ->
                throw RequestException.of(ErrorKind.BAD_REQUEST, request.method() + " is not supported for this path");
        };
        PartKey key;
        try {
            key = new PartKey(ServiceName.of(service), PromptPartId.of(part));
        } catch (IllegalArgumentException e) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
        String operator = request.header(OPERATOR_HEADER).orElse("");
        if (!Ids.isValid(operator)) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, "header operator does not name who makes the change");
        }
        respond(
                response,
                quarantine.edit(key, lifted, operator, reasonOf(request)).thenApply(RelayAdminApi::toJson));
    }

    private static String reasonOf(ServerRequest request) {
        if (request.bodyBytes() == 0) {
            return "";
        }
        try {
            JsonNode reason = JSON.readTree(RequestBodies.textOf(request)).path("reason");
            if (reason.isTextual() && reason.asText().length() <= QuarantineEntry.MAX_TEXT_LENGTH) {
                return reason.asText();
            }
        } catch (IOException e) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, "the body is not JSON: " + e.getMessage());
        }
        throw RequestException.of(
                ErrorKind.BAD_REQUEST,
                "field reason is not a text of at most " + QuarantineEntry.MAX_TEXT_LENGTH + " characters");
    }

    private static void respond(ServerResponse response, CompletableFuture<? extends JsonNode> body) {
        body.whenComplete((json, failure) -> response.eventLoop().execute(() -> {
            if (failure != null) {
                ErrorBodies.send(
                        response,
                        RequestException.of(
                                ErrorKind.INTERNAL,
                                String.valueOf(Throwables.getRootCause(failure).getMessage())),
                        Optional.empty());
                return;
            }
            response.send(
                    OK,
                    ImmutableListMultimap.of("content-type", "application/json"),
                    ByteBuffer.wrap((json + "\n").getBytes(StandardCharsets.UTF_8)));
        }));
    }

    private static ObjectNode toJson(Iterable<QuarantineEntry> entries) {
        ObjectNode json = JSON.createObjectNode();
        for (QuarantineEntry entry : entries) {
            json.withArray("entries").add(toJson(entry));
        }
        return json;
    }

    private static ObjectNode toJson(QuarantineEntry entry) {
        return JSON.createObjectNode()
                .put("service", entry.key().service().value())
                .put("part", entry.key().part().value())
                .put("state", entry.lifted() ? "lifted" : "quarantined")
                .put("revision", entry.revision())
                .put("author", entry.author())
                .put("reason", entry.reason())
                .put("offences", entry.offences())
                .put("changed_at_ms", entry.changedAtMillis());
    }
}
