package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.boragebarrow.http.engine.EngineMessages;
import org.boragebarrow.http.engine.EngineProtocol;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.standins.web.WebHandler;
import org.boragebarrow.standins.web.WebRequest;
import org.boragebarrow.standins.web.WebResponse;

import static com.google.common.base.Preconditions.checkArgument;

/** Serves the engine protocol, and {@code POST /faults}, which sets the injected faults. */
final class EngineRoutes implements WebHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 128;
    private static final long DEFAULT_REMAINING_MILLIS = 60_000;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final EngineDriver driver;

    EngineRoutes(EngineDriver driver) {
        this.driver = driver;
    }

    @Override
    public void handle(WebRequest request, WebResponse response) {
        if (request.is("GET", "/faults")) {
            response.sendJson(OK, driver.effects().toJson());
            return;
        }
        if (request.is("POST", "/faults")) {
            driver.setFaults(driver.faults().with(request.json()));
            sendOk(response);
            return;
        }
        driver.call(() -> respond(request, response));
    }

    private void respond(WebRequest request, WebResponse response) {
        try {
            route(request, response);
        } catch (IllegalArgumentException e) {
            sendError(response, BAD_REQUEST, e.getMessage());
        }
    }

    private void route(WebRequest request, WebResponse response) {
        String collection = collection(request);
        String method = request.method();
        Optional<String> itemId = itemId(request);
        if (itemId.isPresent()) {
            routeItem(method + " " + collection, itemId.get(), request, response);
            return;
        }
        switch (method + " " + collection) {
            case "POST " + EngineProtocol.SEQUENCES -> submit(request, response);
            case "GET " + EngineProtocol.HOLDINGS ->
                response.sendJson(OK, EngineMessages.write(driver.model().holdings()));
            case "GET " + EngineProtocol.LOAD ->
                response.sendJson(OK, EngineMessages.write(driver.model().load()));
            case "GET " + EngineProtocol.CACHE_EVENTS -> {
                long after = Long.parseLong(request.queryParameter("after").orElse("0"));
                response.sendJson(OK, EngineMessages.write(driver.model().cacheEvents(after)));
            }
            case "POST " + EngineProtocol.ORDERS -> order(request, response);
            default -> sendError(response, NOT_FOUND, "no such resource");
        }
    }

    private void routeItem(String operation, String id, WebRequest request, WebResponse response) {
        switch (operation) {
            case "DELETE " + EngineProtocol.SEQUENCES -> cancel(AttemptId.parse(id), response);
            case "PUT " + EngineProtocol.RESERVATIONS -> reserve(AttemptId.parse(id), request.json(), response);
            case "DELETE " + EngineProtocol.RESERVATIONS -> {
                driver.model().release(AttemptId.parse(id));
                sendOk(response);
            }
            case "PUT " + EngineProtocol.EXPORTS -> export(AttemptId.parse(id), response);
            case "DELETE " + EngineProtocol.EXPORTS -> {
                driver.model().deleteExport(id);
                sendOk(response);
            }
            default -> sendError(response, NOT_FOUND, "no such resource");
        }
    }

    private static String collection(WebRequest request) {
        int depth = Math.min(2, request.segments().size());
        return "/" + String.join("/", request.segments().subList(0, depth));
    }

    private static Optional<String> itemId(WebRequest request) {
        int last = request.segments().size() - 1;
        return last < 2 ? Optional.empty() : Optional.of(request.segments().get(last));
    }

    private void submit(WebRequest request, WebResponse response) {
        AttemptId attempt = AttemptId.parse(request.header(EngineProtocol.ATTEMPT_ID)
                .orElseThrow(() -> new IllegalArgumentException("the attempt id header is missing")));
        int firstIndex = intHeader(request, EngineProtocol.FIRST_INDEX, 0);
        if (Boolean.parseBoolean(request.header(EngineProtocol.RESUME).orElse("false"))) {
            resume(attempt, firstIndex, response);
            return;
        }
        Admission admission = driver.model().submit(sequenceRequest(attempt, firstIndex, request));
        switch (admission) {
            case Admission.Accepted accepted -> attach(attempt, firstIndex, response);
            case Admission.Refused refused -> {
                countRefusal(refused.reason());
                sendRefusal(refused.reason(), response);
            }
        }
    }

    private void countRefusal(Admission.Reason reason) {
        if (reason != Admission.Reason.NOT_ACCEPTING) {
            return;
        }
        if (driver.faults().refuse()) {
            driver.effects().count("refuse");
        }
        if (driver.faults().leaving()) {
            driver.effects().count("leaving");
        }
    }

    private static SequenceRequest sequenceRequest(AttemptId attempt, int firstIndex, WebRequest request) {
        int continuation = intHeader(request, EngineProtocol.CONTINUATION_BYTES, 0);
        int length = request.body().length - continuation;
        checkArgument(length >= 0, "continuation is longer than the body: %s bytes", continuation);
        return new SequenceRequest(
                attempt,
                ModelId.of(request.header(EngineProtocol.MODEL).orElse("model")),
                TokenTexts.bodyHash(request.body(), length),
                PromptText.blockHashes(request.body(), length),
                intHeader(request, EngineProtocol.PROMPT_TOKENS, length / BYTES_PER_TOKEN),
                intHeader(request, EngineProtocol.MAX_TOKENS, DEFAULT_MAX_TOKENS),
                firstIndex,
                intHeader(request, EngineProtocol.PRIORITY, 0),
                Duration.ofMillis(request.header(EngineProtocol.REMAINING_MS)
                        .map(Long::parseLong)
                        .orElse(DEFAULT_REMAINING_MILLIS)),
                request.header(EngineProtocol.GANG).isPresent());
    }

    private void resume(AttemptId attempt, int firstIndex, WebResponse response) {
        boolean resumable = driver.model()
                .find(attempt)
                .filter(sequence -> sequence.request().firstIndex() <= firstIndex && firstIndex <= sequence.nextIndex())
                .isPresent();
        if (resumable) {
            attach(attempt, firstIndex, response);
        } else {
            sendRefusal(Admission.Reason.UNKNOWN_ATTEMPT, response);
        }
    }

    private void attach(AttemptId attempt, int firstIndex, WebResponse response) {
        driver.streams().attach(driver.model().find(attempt).orElseThrow(), firstIndex, response);
    }

    private void cancel(AttemptId attempt, WebResponse response) {
        driver.model().cancel(attempt);
        driver.streams().drop(attempt);
        if (driver.faults().loseCancelAnswers()) {
            driver.effects().count("lose_cancel_answers");
            response.abort();
        } else {
            sendOk(response);
        }
    }

    private void reserve(AttemptId attempt, JsonNode json, WebResponse response) {
        boolean reserved = driver.model()
                .reserve(attempt, EngineMessages.readReservedTokens(json), EngineMessages.readTimeToLive(json));
        if (reserved) {
            sendOk(response);
        } else {
            sendError(response, CONFLICT, "too little free memory");
        }
    }

    private void export(AttemptId attempt, WebResponse response) {
        Optional<String> id = driver.model().export(attempt);
        if (id.isEmpty()) {
            sendError(response, NOT_FOUND, "the attempt holds no memory to export");
            return;
        }
        driver.streams().drop(attempt);
        response.sendJson(OK, NODES.objectNode().put("id", id.get()));
    }

    private void order(WebRequest request, WebResponse response) {
        JsonNode json = request.json();
        if (driver.model().order(EngineMessages.readOrder(json), EngineMessages.readFencingNumber(json))) {
            sendOk(response);
        } else {
            sendError(response, CONFLICT, "the fencing number is lower than that of an earlier order");
        }
    }

    private static void sendRefusal(Admission.Reason reason, WebResponse response) {
        int status = switch (reason) {
            case NOT_ACCEPTING -> SERVICE_UNAVAILABLE;
            case UNKNOWN_ATTEMPT, UNKNOWN_MODEL -> NOT_FOUND;
            case DUPLICATE_ATTEMPT, NO_RESERVATION -> CONFLICT;
            case TOO_LARGE -> CONTENT_TOO_LARGE;
            case FULL -> TOO_MANY_REQUESTS;
        };
        sendError(response, status, reason.name());
    }

    private static int intHeader(WebRequest request, String header, int defaultValue) {
        return request.header(header).map(Integer::parseInt).orElse(defaultValue);
    }

    private static void sendOk(WebResponse response) {
        response.sendJson(OK, NODES.objectNode());
    }

    private static void sendError(WebResponse response, int status, String message) {
        response.sendJson(status, NODES.objectNode().put("error", message));
    }
}
