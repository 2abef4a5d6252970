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

/** Sends prompts of unlike lengths and checks each answer against the text that every engine gives. */
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

    PromptCaller(World world, RandomGenerator random) {
        this.world = world;
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
        Stopwatch watch = Stopwatch.createStarted();
        try {
            HttpResponse<String> answer = Caller.send(request);
            checkTime(id, watch.elapsed());
            check(id, answer, stream, TokenTexts.wholeText(hash(body), answerTokens));
        } catch (Caller.CallFailedException e) {
            // Only a host that was killed cuts its callers off; the fault injector waits for drained ones.
            checkTime(id, watch.elapsed());
            world.outcomes().add("prompt cut off");
            world.trace().add(id + " cut off: " + e.getMessage());
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

    private void check(String id, HttpResponse<String> answer, boolean stream, String expected) {
        if (answer.statusCode() != 200) {
            world.outcomes().add("prompt " + Answer.kind(answer));
            return;
        }
        if (!stream) {
            String text =
                    Answer.json(answer).path("choices").path(0).path("text").asText();
            expectWhole(id, text, expected);
            return;
        }
        Answer.Streamed streamed = Answer.streamed(answer);
        if (!streamed.error().isEmpty()) {
            world.outcomes().add("prompt " + streamed.error() + " in stream");
            expectPrefix(id, streamed.text(), expected);
        } else if (streamed.ended()) {
            expectWhole(id, streamed.text(), expected);
        } else {
            world.violations().add("an answer ends with its end or an error", id + ": " + answer.body());
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
