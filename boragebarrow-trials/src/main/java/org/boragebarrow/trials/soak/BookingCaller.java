package org.boragebarrow.trials.soak;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.boragebarrow.node.Host;
import org.boragebarrow.trials.Caller;

/**
 * Books furnace slots, with an idempotency key and without.
 *
 * <p>A keyed booking is sent again with its key, through any host, until its outcome is certain or it has been tried often
 * enough; sometimes through two hosts at once.
 */
final class BookingCaller implements Runnable {
    private static final int MOST_TRIES = 5;
    private static final int TWICE_ONE_IN = 5;

    private final World world;
    private final BookingLedger ledger;
    private final RandomGenerator random;

    BookingCaller(World world, BookingLedger ledger, RandomGenerator random) {
        this.world = world;
        this.ledger = ledger;
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
        Optional<HttpResponse<String>> answer = send(host.get(), id, Optional.empty());
        if (answer.isEmpty()) {
            world.outcomes().add("booking cut off");
            return;
        }
        note(id, answer.get(), "booking");
    }

    private void note(String id, HttpResponse<String> answer, String what) {
        if (answer.statusCode() == 200) {
            ledger.ran(id);
            world.outcomes().add(what + " ok");
            return;
        }
        String kind = Answer.kind(answer);
        world.outcomes().add(what + " " + kind);
        if (Answer.ran(answer).equals("no")) {
            ledger.didNotRun(id, kind);
        }
    }

    private void bookWithKey(String id) {
        ledger.sent(id);
        for (int tries = 0; tries < MOST_TRIES && !world.isStopped(); tries++) {
            if (random.nextInt(TWICE_ONE_IN) == 0) {
                Thread.ofVirtual().start(() -> tryKey(id));
            }
            if (tryKey(id)) {
                return;
            }
            Pause.millis(random.nextInt(50, 400));
        }
    }

    /** Returns whether the outcome is certain. */
    private boolean tryKey(String id) {
        Optional<Host> host = world.anyHost(random);
        if (host.isEmpty()) {
            return false;
        }
        Optional<HttpResponse<String>> answer = send(host.get(), id, Optional.of(id));
        if (answer.isEmpty()) {
            world.outcomes().add("keyed booking cut off");
            return false;
        }
        if (answer.get().statusCode() == 200) {
            ledger.ran(id);
            world.outcomes().add("keyed booking ok");
            return true;
        }
        // A later try may run, so that a refusal as not run only speaks of the tries before it.
        world.outcomes().add("keyed booking " + Answer.kind(answer.get()));
        return Answer.kind(answer.get()).equals("OUTCOME_UNKNOWN");
    }

    private Optional<HttpResponse<String>> send(Host host, String id, Optional<String> key) {
        String body = "{\"slot\":\"slot-%s\",\"order\":\"order-%s\"}".formatted(id, id);
        HttpRequest.Builder request = world.caller()
                .request(host, "/services/desk/furnace/bookings")
                .header("Request-Id", id)
                .header("Request-Timeout-Ms", "5000")
                .POST(BodyPublishers.ofString(body));
        key.ifPresent(text -> request.header("Idempotency-Key", text));
        try {
            return Optional.of(Caller.send(request.build()));
        } catch (Caller.CallFailedException e) {
            return Optional.empty();
        }
    }
}
