package org.boragebarrow.node.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.dispatch.DispatchEvent.Outcome;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.Ran;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/**
 * One prompt from admission to its answer.
 *
 * <p>Confined to the event loop of the caller's connection. Each token index reaches the caller exactly once, over all
 * attempts; the answer ends only when the engine's count agrees.
 */
final class PromptExchange {
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETRY_DELAY_MILLIS = 20;

    private final FrontContext context;
    private final Admitted admitted;
    private final ParsedPrompt prompt;
    private final int promptTokens;
    private final ImmutableList<ByteBuffer> body;
    private final ServerResponse response;
    private final CompletionWriter writer;
    private final StringBuilder delivered = new StringBuilder();
    private final Set<TargetId> failed = new LinkedHashSet<>();
    private final Runnable onDone;

    private Future<?> deadline;
    private Running running;
    private AttemptId queued;
    private int nextIndex;
    private int attempts;
    private boolean everSent;
    private boolean done;

    /** An attempt that was handed to an engine. */
    private record Running(AttemptId attempt, Target engine, long sentNanos) {}

    private EngineClient.Handle handle;

    PromptExchange(
            FrontContext context,
            Admitted admitted,
            ParsedPrompt prompt,
            int promptTokens,
            ImmutableList<ByteBuffer> body,
            ServerResponse response,
            Runnable onDone) {
        this.context = context;
        this.admitted = admitted;
        this.prompt = prompt;
        this.promptTokens = promptTokens;
        this.body = body;
        this.response = response;
        this.writer = new CompletionWriter(response, admitted.request(), prompt);
        this.onDone = onDone;
    }

    void start() {
        long remaining = admitted.remainingNanos(context.ticker().read());
        deadline = response.eventLoop().schedule(this::onDeadline, remaining, TimeUnit.NANOSECONDS);
        response.onClose(this::onCallerGone);
        response.onWritabilityChanged(this::onWritabilityChanged);
        acquire();
    }

    private void acquire() {
        if (done) {
            return;
        }
        attempts++;
        queued = context.nextAttempt();
        AttemptId attempt = queued;
        Work.Prompt work = new Work.Prompt(prompt.model(), promptTokens, prompt.maxTokens(), prompt.prefix());
        GrantRequest request = new GrantRequest(
                attempt, admitted.organisation(), work, admitted.deadlineNanos(), ImmutableSet.copyOf(failed), false);
        context.grants().acquire(request, response.eventLoop(), new Grants.Listener() {
            @Override
            public void onGranted(ImmutableList<Target> targets, int priority) {
                submit(attempt, targets, priority);
            }

            @Override
            public void onRefused(RequestException refusal) {
                onGrantRefused(attempt, refusal);
            }
        });
    }

    private void onGrantRefused(AttemptId attempt, RequestException refusal) {
        if (done || !attempt.equals(queued)) {
            return;
        }
        queued = null;
        fail(refusal);
    }

    private void submit(AttemptId attempt, ImmutableList<Target> targets, int priority) {
        if (done || !attempt.equals(queued)) {
            context.grants().withdraw(attempt);
            return;
        }
        long now = context.ticker().read();
        long remaining = admitted.remainingNanos(now);
        if (remaining == 0) {
            onDeadline();
            return;
        }
        queued = null;
        Target engine = targets.get(0);
        running = new Running(attempt, engine, now);
        context.metrics().queued(admitted.organisation(), lengthClass(), now - admitted.arrivedNanos());
        Optional<String> gang = targets.size() > 1 ? Optional.of(attempt.toString()) : Optional.empty();
        EngineClient.Submission submission = new EngineClient.Submission(
                admitted.request(),
                attempt,
                prompt.model(),
                body,
                ByteBuffer.wrap(delivered.toString().getBytes(StandardCharsets.UTF_8)),
                promptTokens,
                prompt.maxTokens(),
                nextIndex,
                false,
                priority,
                Duration.ofNanos(remaining),
                gang);
        handle = context.engines().submit(engine, submission, new EngineListener(attempt));
    }

    private LengthClass lengthClass() {
        return LengthClass.of(promptTokens);
    }

    /** Brings the events of one attempt to the exchange's event loop. */
    private final class EngineListener implements EngineClient.Listener {
        private final AttemptId attempt;

        EngineListener(AttemptId attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onToken(int index, String text) {
            run(() -> PromptExchange.this.onToken(attempt, index, text));
        }

        @Override
        public void onEnd(int count, int tokens, String finishReason) {
            run(() -> PromptExchange.this.onEnd(attempt, count, tokens, finishReason));
        }

        @Override
        public void onFailure(TargetFailure failure) {
            run(() -> PromptExchange.this.onFailure(attempt, failure));
        }

        private void run(Runnable action) {
            if (response.eventLoop().inEventLoop()) {
                action.run();
                return;
            }
            response.eventLoop().execute(action);
        }
    }

    private boolean isStray(AttemptId attempt) {
        boolean stray = done || running == null || !running.attempt().equals(attempt);
        if (stray) {
            context.metrics().strayMessage();
            context.log().write(LogEvent.STRAY_MESSAGE, attempt);
        }
        return stray;
    }

    private void onToken(AttemptId attempt, int index, String text) {
        if (isStray(attempt) || index < nextIndex) {
            return;
        }
        if (index > nextIndex) {
            breakOff(TargetFailure.broken("token " + nextIndex + " is missing before " + index));
            return;
        }
        long now = context.ticker().read();
        if (nextIndex == 0) {
            context.metrics().firstToken(admitted.organisation(), lengthClass(), now - admitted.arrivedNanos());
        }
        nextIndex++;
        delivered.append(text);
        writer.token(text);
        if (!response.isWritable()) {
            handle.setReading(false);
        }
    }

    private void onEnd(AttemptId attempt, int count, int tokens, String finishReason) {
        if (isStray(attempt)) {
            return;
        }
        if (count != nextIndex) {
            breakOff(TargetFailure.broken("the engine counted " + count + " tokens, " + nextIndex + " arrived"));
            return;
        }
        finishRunning(Outcome.COMPLETED);
        long elapsed = context.ticker().read() - admitted.arrivedNanos();
        context.metrics().completed(admitted.organisation(), lengthClass(), elapsed);
        writer.end(count, tokens, finishReason);
        close();
    }

    private void breakOff(TargetFailure failure) {
        Running broken = running;
        handle.close();
        context.cancels().cancel(broken.engine(), broken.attempt());
        onFailure(broken.attempt(), failure);
    }

    private void onFailure(AttemptId attempt, TargetFailure failure) {
        if (isStray(attempt)) {
            return;
        }
        Running broken = running;
        context.log().write(LogEvent.TARGET_FAILED, broken.engine().id(), attempt, failure.message());
        everSent |= failure.sent();
        finishRunning(Outcome.FAILED);
        if (failure.sent() && !failure.refused()) {
            context.cancels().cancel(broken.engine(), attempt);
        }
        failed.add(broken.engine().id());
        if (attempts >= MAX_ATTEMPTS) {
            ErrorKind kind = everSent ? ErrorKind.TARGET_FAILED : ErrorKind.NO_TARGET;
            fail(RequestException.of(kind, "the last attempt failed: " + failure.message()));
            return;
        }
        context.metrics().retried();
        response.eventLoop().schedule(this::acquire, RETRY_DELAY_MILLIS * attempts, TimeUnit.MILLISECONDS);
    }

    private void finishRunning(Outcome outcome) {
        context.grants().finish(running.attempt(), running.engine(), nextIndex, outcome);
        running = null;
    }

    private void onWritabilityChanged() {
        if (running != null) {
            handle.setReading(response.isWritable());
        }
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        everSent |= running != null;
        stopWork();
        ErrorKind kind = everSent ? ErrorKind.TIMED_OUT : ErrorKind.TIMED_OUT_NOT_RUN;
        fail(RequestException.of(kind, "the request's time limit passed"));
    }

    private void onCallerGone() {
        if (done) {
            return;
        }
        stopWork();
        context.metrics().callerGone();
        close();
    }

    private void stopWork() {
        if (queued != null) {
            context.grants().withdraw(queued);
            queued = null;
        }
        if (running != null) {
            handle.close();
            context.cancels().cancel(running.engine(), running.attempt());
            finishRunning(Outcome.CANCELLED);
        }
    }

    private void fail(RequestException failure) {
        RequestException told = everSent && failure.ran() == Ran.NO ? failure.withRanUnknown() : failure;
        context.log().write(LogEvent.REQUEST_FAILED, admitted.request(), told.kind(), told.getMessage());
        context.metrics().failed(told.kind());
        if (writer.isStarted()) {
            response.write(ByteBuffer.wrap(ErrorBodies.event(told)));
            response.end();
        } else {
            ErrorBodies.send(response, told, Optional.of(admitted.request()));
        }
        close();
    }

    private void close() {
        done = true;
        deadline.cancel(false);
        onDone.run();
    }
}
