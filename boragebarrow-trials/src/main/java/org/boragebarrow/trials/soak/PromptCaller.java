package org.boragebarrow.trials.soak;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.random.RandomGenerator;

import com.google.common.base.Stopwatch;
import org.boragebarrow.node.Host;
import org.boragebarrow.standins.engine.TokenTexts;
import org.boragebarrow.trials.Caller;

/** Sends prompts of different lengths and compares each answer with the text that all stand-in engines generate. */
final class PromptCaller implements Runnable {
    private static final int SHORT_TOKENS = 2_000;
    private static final int LONG_TOKENS = 60_000;
    private static final int LONG_ONE_IN = 10;
    private static final int GANG_TOKENS = 200_000;
    private static final int GANG_ONE_IN = 40;
    private static final int MOST_ANSWER_TOKENS = 40;
    private static final Duration LIMIT = Duration.ofSeconds(8);
    private static final Duration SLACK = Duration.ofSeconds(3);

    private final World world;
    private final RandomGenerator random;

    PromptCaller(World context, RandomGenerator random) {
        this.world = context;
        this.random = random;
    }

    @Override
    public void run() {
        while (!world.isStopped()) {
            world.anyHost(random).ifPresent(this::send);
            Pause.millis(random.nextInt(10, 80));
        }
    }

    private void send(Host host) {
        String id = "prompt-" + world.ids().incrementAndGet();
        int answerTokens = random.nextInt(1, MOST_ANSWER_TOKENS);
        int promptTokens = promptTokens();
        boolean stream = random.nextBoolean();
        String body = "{\"model\":\"model\",\"prompt\":\"%s of %d\",\"max_tokens\":%d,\"stream\":%b}"
                .formatted(id, random.nextInt(), answerTokens, stream);
        HttpRequest request = world.caller()
                .request(host, "/v1/completions")
                .header("Request-Id", id)
                .header("Request-Timeout-Ms", Long.toString(LIMIT.toMillis()))
                .header("Prompt-Tokens", Integer.toString(promptTokens))
                .POST(BodyPublishers.ofString(body))
                .build();
        Stopwatch stopwatch = Stopwatch.createStarted();
        try {
            HttpResponse<String> response = Caller.send(request);
            checkTime(id, stopwatch.elapsed());
            check(id, response, stream, TokenTexts.completeText(hash(body), answerTokens));
        } catch (Caller.CallFailedException e) {
            // Only killed hosts break connections: the fault source waits until a drained host has stopped.
            checkTime(id, stopwatch.elapsed());
            world.outcomes().add("prompt connection failed");
            world.trace().add(id + " connection failed: " + e.getMessage());
        }
    }

    private int promptTokens() {
        if (random.nextInt(GANG_ONE_IN) == 0) {
            return GANG_TOKENS;
        }
        return random.nextInt(LONG_ONE_IN) == 0 ? LONG_TOKENS : random.nextInt(10, SHORT_TOKENS);
    }

    private static long hash(String body) {
        return TokenTexts.bodyHash(body.getBytes(StandardCharsets.UTF_8));
    }

    private void checkTime(String id, Duration elapsed) {
        if (elapsed.compareTo(LIMIT.plus(SLACK)) > 0) {
            world.violations().add("every admitted request ends within its limit", id + " took " + elapsed);
        }
    }

    private void check(String id, HttpResponse<String> response, boolean stream, String expected) {
        if (response.statusCode() != 200) {
            world.outcomes().add("prompt " + Answer.kind(response));
            return;
        }
        if (!stream) {
            String text =
                    Answer.json(response).path("choices").path(0).path("text").asText();
            expectWhole(id, text, expected);
            return;
        }
        Answer.Streamed streamed = Answer.streamed(response);
        if (!streamed.error().isEmpty()) {
            world.outcomes().add("prompt " + streamed.error() + " in stream");
            expectPrefix(id, streamed.text(), expected);
        } else if (streamed.ended()) {
            expectWhole(id, streamed.text(), expected);
        } else {
            world.violations().add("a stream ends with [DONE] or an error event", id + ": " + response.body());
        }
    }

    private void expectWhole(String id, String text, String expected) {
        world.outcomes().add("prompt ok");
        if (!text.equals(expected)) {
            world.violations().add("each caller gets its own whole answer", id + ": " + text + " not " + expected);
        }
    }

    private void expectPrefix(String id, String text, String expected) {
        if (!expected.startsWith(text)) {
            world.violations().add("each token arrives once and in order", id + ": " + text + " not " + expected);
        }
    }
}
