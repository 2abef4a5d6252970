package org.boragebarrow.trials.soak;

import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import org.boragebarrow.node.Host;
import org.boragebarrow.trials.Caller;

/** Edits allowances as an operator, concurrently with other operators. */
final class ChangeCaller implements Runnable {
    private static final int PLANS = 3;

    private final SoakContext context;
    private final AtomicLong highestAccepted;
    private final RandomGenerator random;

    ChangeCaller(SoakContext context, AtomicLong highestAccepted, RandomGenerator random) {
        this.context = context;
        this.highestAccepted = highestAccepted;
        this.random = random;
    }

    @Override
    public void run() {
        while (!context.isStopped()) {
            context.randomReadyHost(random).ifPresent(this::edit);
            Pause.millis(random.nextInt(100, 600));
        }
    }

    private void edit(Host host) {
        String body = """
                {"tokensPerMinute":%d,"maxConcurrent":10,"maxPromptTokens":1000,"weight":1,"defaultTimeoutMs":1000,\
                "maxTimeoutMs":1000,"models":[],"services":[]}
                """.formatted(random.nextInt(1, 1_000_000));
        String path = "/admin/v1/allowances/raced-" + random.nextInt(PLANS);
        try {
            HttpResponse<String> response = Caller.sendAdminRequest(host, "PUT", path, body);
            if (response.statusCode() == 200) {
                long number =
                        response.headers().firstValueAsLong("change-number").orElseThrow();
                highestAccepted.accumulateAndGet(number, Math::max);
                context.outcomes().add("change ok");
                return;
            }
            JsonNode kind = CallerResponses.parseJson(response).path("error").path("kind");
            context.outcomes().add("change " + kind.asText());
        } catch (Caller.CallFailedException e) {
            context.outcomes().add("change connection failed");
        }
    }
}
