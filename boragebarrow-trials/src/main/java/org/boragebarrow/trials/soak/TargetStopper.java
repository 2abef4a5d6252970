package org.boragebarrow.trials.soak;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.service.ServiceStandin;
import org.boragebarrow.trials.Caller;
import org.boragebarrow.trials.Standins;

/** An operator who stops a plain service's target and sees that it gets no new work a few seconds later. */
final class TargetStopper implements Runnable {
    private static final long GRACE_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 2_000;
    private static final long MOST_WAIT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    private final World world;
    private final RandomGenerator random;

    TargetStopper(World world, RandomGenerator random) {
        this.world = world;
        this.random = random;
    }

    @Override
    public void run() {
        while (!world.isStopped()) {
            ImmutableList<Map.Entry<TargetId, ServiceStandin>> services =
                    ImmutableList.copyOf(world.deployment().services().entrySet());
            stopAndStart(services.get(random.nextInt(services.size())));
            Pause.millis(random.nextInt(500, 3_000));
        }
    }

    private void stopAndStart(Map.Entry<TargetId, ServiceStandin> service) {
        OptionalLong change = order(service.getKey(), "stop");
        if (change.isPresent() && isInForce(change.getAsLong())) {
            Pause.millis(GRACE_MILLIS);
            int before = runs(service.getValue());
            Pause.millis(WATCH_MILLIS);
            int after = runs(service.getValue());
            if (after != before) {
                String details = service.getKey() + " ran " + (after - before) + " calls after change " + change;
                world.violations().add("a stopped target gets no new work", details);
            }
            world.outcomes().add("target stopped");
        }
        while (order(service.getKey(), "start").isEmpty()) {
            Pause.millis(POLL_MILLIS);
        }
    }

    private OptionalLong order(TargetId target, String verb) {
        return world.anyHost(random).map(host -> order(host, target, verb)).orElse(OptionalLong.empty());
    }

    private OptionalLong order(Host host, TargetId target, String verb) {
        try {
            HttpResponse<String> answer = Caller.operate(host, "POST", "/admin/v1/targets/" + target + "/" + verb, "");
            return answer.statusCode() == 200
                    ? answer.headers().firstValueAsLong("change-number")
                    : OptionalLong.empty();
        } catch (Caller.CallFailedException e) {
            return OptionalLong.empty();
        }
    }

    /** A zone that is cut off cannot know of the change yet; such an order proves nothing. */
    private boolean isInForce(long change) {
        for (long waited = 0; waited < MOST_WAIT_MILLIS; waited += POLL_MILLIS) {
            if (world.deployment().hosts().stream().allMatch(host -> host.changeInForce() >= change)) {
                return true;
            }
            Pause.millis(POLL_MILLIS);
        }
        return false;
    }

    private static int runs(ServiceStandin service) {
        int sum = 0;
        for (var count : Standins.read(service.endpoint(), "/runs").path("attempts")) {
            sum += count.asInt();
        }
        return sum;
    }
}
