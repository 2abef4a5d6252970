package org.boragebarrow.node.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.primitives.Longs;
import org.boragebarrow.decision.change.Change;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.ChangeState;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.decision.change.JsonChangeCodec;
import org.boragebarrow.http.server.ServerHandler;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;
import org.boragebarrow.node.change.ChangeConflictException;
import org.boragebarrow.node.change.ChangeDuty;
import org.boragebarrow.node.front.ErrorBodies;
import org.boragebarrow.node.settings.Secret;

import static com.google.common.base.Preconditions.checkNotNull;

/** Serves the operators' HTTP API. Thread-safe. */
public final class AdminApi implements ServerHandler {
    private static final String CHANGE_ID_HEADER = "change-id";
    private static final String JSON = "application/json";
    private static final Splitter PATH_SPLITTER = Splitter.on('/').omitEmptyStrings();

    /** Supplies the contents that the API serves besides the entries. */
    public interface Pages {
        /** Returns the metrics in the Prometheus text format. */
        String metrics();

        /** Returns whether the host is ready. */
        boolean isReady();

        /** Returns the host's status as JSON. */
        String status();

        /** Returns as JSON the hosts at which a change is in effect. */
        String change(long number);

        /** Returns an id for a change that was submitted without one. */
        String newChangeId();
    }

    private final OperatorToken token;
    private final ChangeDuty changes;
    private final Pages pages;

    /** Creates an API that accepts a single token, which is stored as its SHA-256 hash. */
    public AdminApi(Secret token, ChangeDuty changes, Pages pages) {
        this.token = new OperatorToken(token);
        this.changes = checkNotNull(changes);
        this.pages = checkNotNull(pages);
    }

    @Override
    public void onRefused(RequestException refusal, ServerResponse response) {
        ErrorBodies.send(response, refusal, Optional.empty());
    }

    @Override
    public void onRequest(ServerRequest request, ServerResponse response) {
        switch (request.path()) {
            case "/livez" -> send(response, 200, "text/plain", "live\n");
            case "/readyz" -> send(response, pages.isReady() ? 200 : 503, "text/plain", pages.isReady() + "\n");
            default -> {
                token.check(request);
                route(request, response);
            }
        }
    }

    private void route(ServerRequest request, ServerResponse response) {
        if (request.path().equals("/metrics")) {
            send(response, 200, "text/plain; version=0.0.4", pages.metrics());
            return;
        }
        List<String> path = PATH_SPLITTER.splitToList(request.path());
        boolean isApiPath =
                path.size() >= 3 && path.get(0).equals("admin") && path.get(1).equals("v1");
        if (!isApiPath) {
            throw notFound(request);
        }
        String resource = path.get(2);
        int segments = path.size();
        if (resource.equals("status") && segments == 3) {
            send(response, 200, JSON, pages.status());
        } else if (resource.equals("changes") && segments == 4) {
            showChange(path.get(3), response);
        } else if (resource.equals("targets") && segments == 5) {
            switchTarget(request, path.get(3), path.get(4), response);
        } else if (segments == 3 || segments == 4) {
            handleEntry(request, path, response);
        } else {
            throw notFound(request);
        }
    }

    private static RequestException notFound(ServerRequest request) {
        return RequestException.of(ErrorKind.NOT_FOUND, "no resource at " + request.path());
    }

    private void showChange(String text, ServerResponse response) {
        Long number = Longs.tryParse(text);
        if (number == null || number < 0) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, "invalid change number: \"" + text + "\"");
        }
        send(response, 200, JSON, pages.change(number));
    }

    private void switchTarget(ServerRequest request, String id, String action, ServerResponse response) {
        boolean isSwitch = request.method().equals("POST") && (action.equals("start") || action.equals("stop"));
        if (!isSwitch) {
            throw notFound(request);
        }
        TargetId target = orBadRequest(() -> TargetId.of(id));
        append(request, ChangeEntry.SwitchEntry.set(new TargetSwitch(target, action.equals("start"))), response);
    }

    private void handleEntry(ServerRequest request, List<String> path, ServerResponse response) {
        EntryKey.Kind kind = switch (path.get(2)) {
            case "plans" -> EntryKey.Kind.PLAN;
            case "allowances" -> EntryKey.Kind.ALLOWANCE;
            case "targets" -> EntryKey.Kind.SWITCH;
            case "zones" -> EntryKey.Kind.ZONE;
            default -> throw notFound(request);
        };
        if (path.size() == 3) {
            send(response, 200, JSON, EntryPages.list(changes.state(), kind));
            return;
        }
        EntryKey key = orBadRequest(() -> new EntryKey(kind, path.get(3)));
        switch (request.method()) {
            case "GET" -> showEntry(key, response);
            case "PUT" ->
                append(
                        request,
                        orBadRequest(() -> JsonChangeCodec.decodeValue(key, RequestBodies.textOf(request))),
                        response);
            case "DELETE" -> append(request, deletion(key), response);
            default ->
                throw RequestException.of(ErrorKind.BAD_REQUEST, request.method() + " is not supported for this path");
        }
    }

    private static ChangeEntry deletion(EntryKey key) {
        return switch (key.kind()) {
            case PLAN -> ChangeEntry.PlanEntry.deleted(OrganisationId.of(key.id()));
            case ALLOWANCE -> ChangeEntry.AllowanceEntry.deleted(PlanId.of(key.id()));
            case SWITCH -> ChangeEntry.SwitchEntry.deleted(TargetId.of(key.id()));
            case ZONE -> new ChangeEntry.ZoneEntry(AvailabilityZoneId.of(key.id()), false);
        };
    }

    private void showEntry(EntryKey key, ServerResponse response) {
        ChangeState state = changes.state();
        long version = state.versionOf(key);
        if (version == 0) {
            throw RequestException.of(ErrorKind.NOT_FOUND, "no such entry: " + key);
        }
        sendEntry(response, 200, state.entryOf(key), version);
    }

    private void append(ServerRequest request, ChangeEntry entry, ServerResponse response) {
        String changeId = request.header(CHANGE_ID_HEADER).orElseGet(pages::newChangeId);
        if (!Ids.isValid(changeId)) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, "header change-id is not a valid id");
        }
        changes.append(changeId, entry, expectedVersion(request))
                .whenComplete((change, failure) -> response.eventLoop().execute(() -> {
                    if (failure == null) {
                        sendAccepted(response, change);
                    } else {
                        sendFailure(response, entry.key(), failure);
                    }
                }));
    }

    private static void sendAccepted(ServerResponse response, Change change) {
        sendEntry(response, 200, change.entry(), change.number());
    }

    private static void sendFailure(ServerResponse response, EntryKey key, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        switch (cause) {
            case ChangeConflictException conflict -> sendConflict(response, key, conflict);
            case RequestException refusal -> ErrorBodies.send(response, refusal, Optional.empty());
            default ->
                ErrorBodies.send(response, RequestException.of(ErrorKind.INTERNAL, cause.toString()), Optional.empty());
        }
    }

    private static void sendConflict(ServerResponse response, EntryKey key, ChangeConflictException conflict) {
        long version = conflict.present().map(Change::number).orElse(0L);
        String body = EntryPages.conflict(key, conflict.getMessage(), conflict.present());
        ImmutableListMultimap<String, String> headers =
                ImmutableListMultimap.of("content-type", JSON, "etag", etag(version));
        response.send(ErrorKind.VERSION_CONFLICT.status(), headers, utf8(body));
    }

    private static OptionalLong expectedVersion(ServerRequest request) {
        if (request.header("if-none-match").filter("*"::equals).isPresent()) {
            return OptionalLong.of(0);
        }
        Optional<String> match = request.header("if-match").filter(text -> !text.equals("*"));
        if (match.isEmpty()) {
            return OptionalLong.empty();
        }
        Long version = Longs.tryParse(match.get().replace("\"", ""));
        if (version == null || version < 0) {
            throw RequestException.of(
                    ErrorKind.BAD_REQUEST, "header if-match is not an ETag of this API: " + match.get());
        }
        return OptionalLong.of(version);
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    /** Converts an {@link IllegalArgumentException} of a value type into a {@code BAD_REQUEST} response. */
    private static <T> T orBadRequest(Supplier<T> value) {
        try {
            return value.get();
        } catch (IllegalArgumentException e) {
            throw RequestException.of(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private static void sendEntry(ServerResponse response, int status, ChangeEntry entry, long version) {
        ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of(
                "content-type", JSON, "etag", etag(version), "change-number", Long.toString(version));
        response.send(status, headers, utf8(JsonChangeCodec.encodeValue(entry) + "\n"));
    }

    private static void send(ServerResponse response, int status, String type, String text) {
        response.send(status, ImmutableListMultimap.of("content-type", type), utf8(text));
    }

    private static ByteBuffer utf8(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
