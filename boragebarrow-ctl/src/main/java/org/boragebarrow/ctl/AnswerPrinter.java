package org.boragebarrow.ctl;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Stopwatch;
import com.google.common.base.Ticker;
import org.boragebarrow.ctl.caller.AnswerEnd;
import org.boragebarrow.ctl.caller.AnswerListener;

/** Prints the tokens of a response as they arrive, then its times and how it ended. */
final class AnswerPrinter implements AnswerListener {
    private final Stopwatch watch;
    private final PrintStream tokenOutput;
    private final CompletableFuture<Summary> summary = new CompletableFuture<>();
    private Optional<Duration> firstToken = Optional.empty();

    private record Summary(AnswerEnd end, Optional<Duration> firstToken, Duration total) {}

    AnswerPrinter(Ticker ticker, PrintStream tokens) {
        this.watch = Stopwatch.createStarted(ticker);
        this.tokenOutput = tokens;
    }

    @Override
    public void onToken(String text) {
        if (firstToken.isEmpty()) {
            firstToken = Optional.of(watch.elapsed());
        }
        tokenOutput.print(text);
        tokenOutput.flush();
    }

    @Override
    public void onEnd(AnswerEnd end) {
        summary.complete(new Summary(end, firstToken, watch.elapsed()));
    }

    /** Waits for the end of the response and prints it; throws {@link CommandException} unless it is complete. */
    void awaitAndPrintEnd(boolean json, Console console, Duration timeout) {
        AnswerEnd timedOut = new AnswerEnd.Cut(true, "no end within " + timeout.toMillis() + " ms");
        Summary result = summary.completeOnTimeout(
                        new Summary(timedOut, Optional.empty(), timeout), timeout.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        tokenOutput.println();
        if (json) {
            console.out().println(toJson(result));
        } else {
            console.out().println("time to first token: " + millis(result.firstToken()) + " ms");
            console.out().println("total: " + millis(Optional.of(result.total())) + " ms");
            console.out().println("end: " + result.end());
        }
        requireComplete(result.end());
    }

    private static void requireComplete(AnswerEnd end) {
        switch (end) {
            case AnswerEnd.Complete complete -> {}
            case AnswerEnd.Refused refused -> throw failed(refused.kind() + ": " + refused.message());
            case AnswerEnd.Failed failed -> throw failed(failed.kind() + ": " + failed.message());
            case AnswerEnd.Cut cut ->
                throw new CommandException(cut.sent() ? ExitCode.FAILED : ExitCode.UNREACHABLE, cut.message());
        }
    }

    private static CommandException failed(String message) {
        return new CommandException(ExitCode.FAILED, message);
    }

    private static ObjectNode toJson(Summary result) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        result.firstToken().ifPresent(time -> node.put("first_token_ms", millis(time)));
        node.put("total_ms", millis(result.total()));
        node.put("complete", result.end() instanceof AnswerEnd.Complete);
        node.put("end", result.end().toString());
        return node;
    }

    private static String millis(Optional<Duration> time) {
        return time.map(value -> Double.toString(millis(value))).orElse("-");
    }

    private static double millis(Duration time) {
        return time.toNanos() / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
