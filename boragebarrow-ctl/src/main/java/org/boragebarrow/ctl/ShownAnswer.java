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

/** Shows an answer's tokens as they come, then its times and its end. */
final class ShownAnswer implements AnswerListener {
    private final Stopwatch watch;
    private final PrintStream tokens;
    private final CompletableFuture<Summary> summary = new CompletableFuture<>();
    private Optional<Duration> firstToken = Optional.empty();

    private record Summary(AnswerEnd end, Optional<Duration> firstToken, Duration total) {}

    ShownAnswer(Ticker ticker, PrintStream tokens) {
        this.watch = Stopwatch.createStarted(ticker);
        this.tokens = tokens;
    }

    @Override
    public void onToken(String text) {
        if (firstToken.isEmpty()) {
            firstToken = Optional.of(watch.elapsed());
        }
        tokens.print(text);
        tokens.flush();
    }

    @Override
    public void onEnd(AnswerEnd end) {
        summary.complete(new Summary(end, firstToken, watch.elapsed()));
    }

    /** Waits for the end and reports it; throws {@link CommandException} unless the answer is whole. */
    void finish(boolean json, Console console, Duration timeout) {
        AnswerEnd late = new AnswerEnd.Cut(true, "no end within " + timeout.toMillis() + " ms");
        Summary done = summary.completeOnTimeout(
                        new Summary(late, Optional.empty(), timeout), timeout.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        tokens.println();
        if (json) {
            console.out().println(page(done));
        } else {
            console.out().println("time to first token: " + millis(done.firstToken()) + " ms");
            console.out().println("total: " + millis(Optional.of(done.total())) + " ms");
            console.out().println("end: " + done.end());
        }
        check(done.end());
    }

    private static void check(AnswerEnd end) {
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

    private static ObjectNode page(Summary done) {
        ObjectNode page = JsonNodeFactory.instance.objectNode();
        done.firstToken().ifPresent(time -> page.put("first_token_ms", millis(time)));
        page.put("total_ms", millis(done.total()));
        page.put("complete", done.end() instanceof AnswerEnd.Complete);
        page.put("end", done.end().toString());
        return page;
    }

    private static String millis(Optional<Duration> time) {
        return time.map(each -> Double.toString(millis(each))).orElse("-");
    }

    private static double millis(Duration time) {
        return time.toNanos() / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
