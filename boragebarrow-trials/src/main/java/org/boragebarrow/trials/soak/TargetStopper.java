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

/**
 * Stops a target of a plain service as an operator and checks that it receives no new calls a few seconds later, then
 * starts it again.
 */
final class TargetStopper implements Runnable {
    private static final long GRACE_MILLIS = 3_000;
    private static final long OBSERVATION_MILLIS = 2_000;
    private static final long MAX_WAIT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    private final SoakContext context;
    private final RandomGenerator random;

    TargetStopper(SoakContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
    }

    @Override
    public void run() {
        while (!context.isStopped()) {
            ImmutableList<Map.Entry<TargetId, ServiceStandin>> services =
                    ImmutableList.copyOf(context.deployment().services().entrySet());
            stopAndStart(services.get(random.nextInt(services.size())));
            Pause.millis(random.nextInt(500, 3_000));
        }
    }

    private void stopAndStart(Map.Entry<TargetId, ServiceStandin> service) {
        OptionalLong change = sendCommand(service.getKey(), "stop");
        if (change.isPresent() && awaitApplied(change.getAsLong())) {
            Pause.millis(GRACE_MILLIS);
            int before = countRuns(service.getValue());
            Pause.millis(OBSERVATION_MILLIS);
            int after = countRuns(service.getValue());
            if (after != before) {
                String details = service.getKey() + " ran " + (after - before) + " calls after change " + change;
                context.violations().add("a stopped target gets no new work", details);
            }
            context.outcomes().add("target stopped");
        }
        while (sendCommand(service.getKey(), "start").isEmpty()) {
            Pause.millis(POLL_MILLIS);
        }
    }

    private OptionalLong sendCommand(TargetId target, String command) {
        return context.randomReadyHost(random)
                .map(host -> sendCommand(host, target, command))
                .orElse(OptionalLong.empty());
    }

    private OptionalLong sendCommand(Host host, TargetId target, String command) {
        try {
            HttpResponse<String> response =
                    Caller.sendAdminRequest(host, "POST", "/admin/v1/targets/" + target + "/" + command, "");
            return response.statusCode() == 200
                    ? response.headers().firstValueAsLong("change-number")
                    : OptionalLong.empty();
        } catch (Caller.CallFailedException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Waits until all hosts have applied the change and returns whether they have. Hosts of an isolated zone cannot
     * receive the change, so they may still call the target.
     */
    private boolean awaitApplied(long change) {
        for (long waitedMillis = 0; waitedMillis < MAX_WAIT_MILLIS; waitedMillis += POLL_MILLIS) {
            if (context.deployment().hosts().stream().allMatch(host -> host.appliedChangeNumber() >= change)) {
                return true;
            }
            Pause.millis(POLL_MILLIS);
        }
        return false;
    }

    private static int countRuns(ServiceStandin service) {
        int sum = 0;
        for (var count : Standins.readJson(service.endpoint(), "/runs").path("attempts")) {
            sum += count.asInt();
        }
        return sum;
    }
}
