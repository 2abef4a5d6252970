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
 * <p>A booking with a key is retried with the same key over any host until its outcome is final or the attempts are
 * used up. One of {@code DUPLICATE_ONE_IN} attempts is sent twice at the same time, possibly over two hosts.
 */
final class BookingCaller implements Runnable {
    private static final int MOST_TRIES = 5;
    private static final int TWICE_ONE_IN = 5;

    private final World world;
    private final BookingLedger ledger;
    private final RandomGenerator random;

    BookingCaller(World context, BookingLedger bookings, RandomGenerator random) {
        this.world = context;
        this.ledger = bookings;
        this.random = random;
    }

    @Override
    public void run() {
        while (!world.isStopped()) {
            String id = "booking-" + world.ids().incrementAndGet();
            if (random.nextBoolean()) {
                bookOnce(id);
            } else {
                bookWithKey(id);
            }
            Pause.millis(random.nextInt(10, 100));
        }
    }

    private void bookOnce(String id) {
        Optional<Host> host = world.anyHost(random);
        if (host.isEmpty()) {
            return;
        }
        ledger.sent(id);
        Optional<HttpResponse<String>> response = send(host.get(), id, Optional.empty());
        if (response.isEmpty()) {
            world.outcomes().add("booking connection failed");
            return;
        }
        note(id, response.get(), "booking");
    }

    private void note(String id, HttpResponse<String> response, String call) {
        if (response.statusCode() == 200) {
            ledger.ran(id);
            world.outcomes().add(call + " ok");
            return;
        }
        String kind = Answer.kind(response);
        world.outcomes().add(call + " " + kind);
        if (Answer.ran(response).equals("no")) {
            ledger.didNotRun(id, kind);
        }
    }

    private void bookWithKey(String id) {
        ledger.sent(id);
        for (int attempts = 0; attempts < MOST_TRIES && !world.isStopped(); attempts++) {
            if (random.nextInt(TWICE_ONE_IN) == 0) {
                Thread.ofVirtual().start(() -> tryKey(id));
            }
            if (tryKey(id)) {
                return;
            }
            Pause.millis(random.nextInt(50, 400));
        }
    }

    /** Sends the booking with its key; returns whether the outcome is final, either success or permanently unknown. */
    private boolean tryKey(String id) {
        Optional<Host> host = world.anyHost(random);
        if (host.isEmpty()) {
            return false;
        }
        Optional<HttpResponse<String>> response = send(host.get(), id, Optional.of(id));
        if (response.isEmpty()) {
            world.outcomes().add("keyed booking connection failed");
            return false;
        }
        if (response.get().statusCode() == 200) {
            ledger.ran(id);
            world.outcomes().add("keyed booking ok");
            return true;
        }
        // A later attempt may run, so an error that reports "not run" applies only to the attempts before it.
        world.outcomes().add("keyed booking " + Answer.kind(response.get()));
        return Answer.kind(response.get()).equals("OUTCOME_UNKNOWN");
    }

    private Optional<HttpResponse<String>> send(Host host, String id, Optional<String> key) {
        String body = "{\"slot\":\"slot-%s\",\"order\":\"order-%s\"}".formatted(id, id);
        HttpRequest.Builder request = world.caller()
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
