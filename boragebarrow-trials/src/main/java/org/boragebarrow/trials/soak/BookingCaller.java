package org.boragebarrow.trials.soak;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.boragebarrow.node.Host;
import org.boragebarrow.trials.Caller;

/**
 * Books furnace slots, with an idempotency key or without.
 *
 * <p>A booking with a key is retried with the same key through any host until its outcome is final or the attempts are
 * used up. One of {@code DUPLICATE_ONE_IN} attempts is sent twice at the same time, possibly through two hosts.
 */
final class BookingCaller implements Runnable {
    private static final int MAX_ATTEMPTS = 5;
    private static final int DUPLICATE_ONE_IN = 5;

    private final SoakContext context;
    private final BookingOutcomes bookings;
    private final RandomGenerator random;

    BookingCaller(SoakContext context, BookingOutcomes bookings, RandomGenerator random) {
        this.context = context;
        this.bookings = bookings;
        this.random = random;
    }

    @Override
    public void run() {
        while (!context.isStopped()) {
            String id = "booking-" + context.lastRequestNumber().incrementAndGet();
            if (random.nextBoolean()) {
                bookWithoutKey(id);
            } else {
                bookWithKey(id);
            }
            Pause.millis(random.nextInt(10, 100));
        }
    }

    private void bookWithoutKey(String id) {
        Optional<Host> host = context.randomReadyHost(random);
        if (host.isEmpty()) {
            return;
        }
        bookings.recordSent(id);
        Optional<HttpResponse<String>> response = send(host.get(), id, Optional.empty());
        if (response.isEmpty()) {
            context.outcomes().add("booking connection failed");
            return;
        }
        recordOutcome(id, response.get(), "booking");
    }

    private void recordOutcome(String id, HttpResponse<String> response, String call) {
        if (response.statusCode() == 200) {
            bookings.recordRun(id);
            context.outcomes().add(call + " ok");
            return;
        }
        String kind = CallerResponses.errorKind(response);
        context.outcomes().add(call + " " + kind);
        if (CallerResponses.executionStatus(response).equals("no")) {
            bookings.recordNotRun(id, kind);
        }
    }

    private void bookWithKey(String id) {
        bookings.recordSent(id);
        for (int attempts = 0; attempts < MAX_ATTEMPTS && !context.isStopped(); attempts++) {
            if (random.nextInt(DUPLICATE_ONE_IN) == 0) {
                Thread.ofVirtual().start(() -> attemptWithKey(id));
            }
            if (attemptWithKey(id)) {
                return;
            }
            Pause.millis(random.nextInt(50, 400));
        }
    }

    /** Sends the booking with its key; returns whether the outcome is final, either success or permanently unknown. */
    private boolean attemptWithKey(String id) {
        Optional<Host> host = context.randomReadyHost(random);
        if (host.isEmpty()) {
            return false;
        }
        Optional<HttpResponse<String>> response = send(host.get(), id, Optional.of(id));
        if (response.isEmpty()) {
            context.outcomes().add("keyed booking connection failed");
            return false;
        }
        if (response.get().statusCode() == 200) {
            bookings.recordRun(id);
            context.outcomes().add("keyed booking ok");
            return true;
        }
        // A later attempt may run, so an error that reports "not run" applies only to the attempts before it.
        context.outcomes().add("keyed booking " + CallerResponses.errorKind(response.get()));
        return CallerResponses.errorKind(response.get()).equals("OUTCOME_UNKNOWN");
    }

    private Optional<HttpResponse<String>> send(Host host, String id, Optional<String> key) {
        String body = "{\"slot\":\"slot-%s\",\"order\":\"order-%s\"}".formatted(id, id);
        HttpRequest.Builder request = context.caller()
                .request(host, "/services/desk/furnace/bookings")
                .header("Request-Id", id)
                .header("Request-Timeout-Ms", "5000")
                .POST(BodyPublishers.ofString(body));
        key.ifPresent(value -> request.header("Idempotency-Key", value));
        try {
            return Optional.of(Caller.send(request.build()));
        } catch (Caller.CallFailedException e) {
            return Optional.empty();
        }
    }
}
