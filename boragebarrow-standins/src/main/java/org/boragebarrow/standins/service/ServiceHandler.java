package org.boragebarrow.standins.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import org.boragebarrow.http.platform.PlatformJson;
import org.boragebarrow.standins.fault.FaultEffects;
import org.boragebarrow.standins.fault.FaultSwitches;
import org.boragebarrow.standins.service.ServiceFaults.Fault;
import org.boragebarrow.standins.web.WebHandler;
import org.boragebarrow.standins.web.WebRequest;
import org.boragebarrow.standins.web.WebResponse;

/** Runs and counts the calls of a plain service, with injected faults; not thread-safe. */
final class ServiceHandler implements WebHandler {
    private static final String REQUEST_ID = "Request-Id";
    private static final String ATTEMPT_ID = "Attempt-Id";
    private static final String JSON = HttpHeaderValues.APPLICATION_JSON.toString();
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAX_PIECES = 1_000;

    private final RandomGenerator random;
    private final BiConsumer<Duration, Runnable> timer;
    private final RunCounters counters = new RunCounters();
    private final FaultEffects effects = new FaultEffects();
    private ServiceFaults faults = ServiceFaults.NONE;

    ServiceHandler(RandomGenerator random, BiConsumer<Duration, Runnable> timer) {
        this.random = random;
        this.timer = timer;
    }

    private record Answer(String contentType, byte[] body) {}

    @Override
    public void handle(WebRequest request, WebResponse response) {
        if (request.is("GET", "/runs")) {
            response.send(OK, JSON, PlatformJson.write(counters.runs()));
        } else if (request.is("GET", "/faults")) {
            response.sendJson(OK, effects.toJson());
        } else if (request.is("POST", "/faults")) {
            faults = FaultSwitches.read(request.body(), ServiceFaults.class);
            response.send(OK, TEXT, new byte[0]);
        } else {
            handleCall(request, response);
        }
    }

    private void handleCall(WebRequest request, WebResponse response) {
        Fault fault = faults.selectFault(random.nextDouble());
        if (fault != Fault.NONE) {
            effects.count(fault.switchName());
        }
        if (fault == Fault.REFUSED) {
            response.send(SERVICE_UNAVAILABLE, TEXT, new byte[0]);
        } else if (faults.slowMillis() == 0) {
            respond(fault, run(request), response);
        } else {
            effects.count("slow_millis");
            // The call runs even if the caller disconnects during the delay, as it would at a real service.
            timer.accept(Duration.ofMillis(faults.slowMillis()), () -> respond(fault, run(request), response));
        }
    }

    private Answer run(WebRequest request) {
        Answer answer = result(request);
        counters.countRun(
                request.header(REQUEST_ID).orElse(""),
                request.header(ATTEMPT_ID).orElse(""));
        return answer;
    }

    private Answer result(WebRequest request) {
        if (request.is("GET", "/stock")) {
            return stock(request.queryParameter("item").orElse(""));
        }
        if (request.is("POST", "/furnace/bookings")) {
            return book(PlatformJson.read(request.body(), Booking.class));
        }
        return echo(request);
    }

    private static Answer stock(String item) {
        int pieces = Hashing.consistentHash(
                Hashing.murmur3_128().hashString(item, StandardCharsets.UTF_8).asLong(), MAX_PIECES);
        return new Answer(JSON, PlatformJson.write(new StockAnswer(item, pieces)));
    }

    private Answer book(Booking booking) {
        int number = counters.book(booking);
        return new Answer(JSON, PlatformJson.write(new BookingAnswer(number, booking.slot(), booking.order())));
    }

    private static Answer echo(WebRequest request) {
        if (request.body().length > 0) {
            String contentType =
                    request.header(HttpHeaderNames.CONTENT_TYPE.toString()).orElse(TEXT);
            return new Answer(contentType, request.body());
        }
        String line = request.method() + " " + request.path() + " "
                + request.header(REQUEST_ID).orElse("");
        return new Answer(TEXT, line.getBytes(StandardCharsets.UTF_8));
    }

    private static void respond(Fault fault, Answer answer, WebResponse response) {
        switch (fault) {
            case NONE -> response.send(OK, answer.contentType, answer.body);
            case RESET_AFTER_RUN -> response.abort();
            case TRUNCATED_RESPONSE ->
                response.sendTruncated(OK, answer.contentType, answer.body, answer.body.length / 2);
            default -> throw new IllegalStateException("rejected call was run");
        }
    }
}
