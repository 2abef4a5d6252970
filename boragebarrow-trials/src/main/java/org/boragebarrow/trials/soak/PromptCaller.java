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
    private static final int ANSWER_TOKENS_BOUND = 40;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration TIMEOUT_SLACK = Duration.ofSeconds(3);

    private final SoakContext context;
    private final RandomGenerator random;

    PromptCaller(SoakContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
    }

    @Override
    public void run() {
        while (!context.isStopped()) {
            context.randomReadyHost(random).ifPresent(this::send);
            Pause.millis(random.nextInt(10, 80));
        }
    }

    private void send(Host host) {
        String id = "prompt-" + context.lastRequestNumber().incrementAndGet();
        int answerTokens = random.nextInt(1, ANSWER_TOKENS_BOUND);
        int promptTokens = promptTokens();
        boolean stream = random.nextBoolean();
        String body = "{\"model\":\"model\",\"prompt\":\"%s of %d\",\"max_tokens\":%d,\"stream\":%b}"
                .formatted(id, random.nextInt(), answerTokens, stream);
        HttpRequest request = context.caller()
                .request(host, "/v1/completions")
                .header("Request-Id", id)
                .header("Request-Timeout-Ms", Long.toString(REQUEST_TIMEOUT.toMillis()))
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
            context.outcomes().add("prompt connection failed");
            context.trace().add(id + " connection failed: " + e.getMessage());
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
        if (elapsed.compareTo(REQUEST_TIMEOUT.plus(TIMEOUT_SLACK)) > 0) {
            context.violations().add("every admitted request ends within its limit", id + " took " + elapsed);
        }
    }

    private void check(String id, HttpResponse<String> response, boolean stream, String expected) {
        if (response.statusCode() != 200) {
            context.outcomes().add("prompt " + CallerResponses.errorKind(response));
            return;
        }
        if (!stream) {
            String text = CallerResponses.parseJson(response)
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();
            expectComplete(id, text, expected);
            return;
        }
        CallerResponses.StreamedCompletion streamed = CallerResponses.parseStream(response);
        if (!streamed.errorKind().isEmpty()) {
            context.outcomes().add("prompt " + streamed.errorKind() + " in stream");
            expectPrefix(id, streamed.text(), expected);
        } else if (streamed.done()) {
            expectComplete(id, streamed.text(), expected);
        } else {
            context.violations().add("a stream ends with [DONE] or an error event", id + ": " + response.body());
        }
    }

    private void expectComplete(String id, String text, String expected) {
        context.outcomes().add("prompt ok");
        if (!text.equals(expected)) {
            context.violations().add("each caller gets its own whole answer", id + ": " + text + " not " + expected);
        }
    }

    private void expectPrefix(String id, String text, String expected) {
        if (!expected.startsWith(text)) {
            context.violations().add("each token arrives once and in order", id + ": " + text + " not " + expected);
        }
    }
}
