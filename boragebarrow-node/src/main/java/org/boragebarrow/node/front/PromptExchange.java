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
import org.boragebarrow.decision.retry.FailedAttempt;
import org.boragebarrow.decision.retry.RetryDecision;
import org.boragebarrow.decision.retry.TokenSequencer;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/**
 * One prompt from admission to the end of its response.
 *
 * <p>Confined to the event loop of the caller's connection. Each token index is delivered to the caller exactly once
 * across all attempts; the response is complete only if the engine's token count matches the tokens delivered.
 */
final class PromptExchange implements AttemptListener.Events {
    private static final int MAX_RESUMES = 3;
    private static final long RESUME_DELAY_MILLIS = 20;
    private static final long RECOVERY_DELAY_MILLIS = 200;

    private final FrontContext context;
    private final AdmittedRequest admitted;
    private final PromptRequest request;
    private final ServerResponse response;
    private final Listener listener;
    private final CompletionWriter writer;
    private final TokenSequencer sequencer;
    private final Set<TargetId> failedTargets = new LinkedHashSet<>();

    private Future<?> deadlineTimer;
    private RunningAttempt runningAttempt;
    private boolean submitted;
    private AttemptId queuedAttempt;
    private int attemptCount;
    private int resumeCount;
    private long lastTokenNanos;
    private boolean anythingSent;
    private boolean done;

    /** An attempt that has a grant; it runs at one engine, or at a gang whose first engine is the head. */
    private record RunningAttempt(AttemptId attempt, ImmutableList<Target> targets, int priority) {
        Target engine() {
            return targets.get(0);
        }

        boolean isGang() {
            return targets.size() > 1;
        }
    }

    private EngineClient.CallHandle handle;

    /** Receives the end of the exchange. */
    interface Listener {
        /** Called with the number of prompt tokens that the engine counted. */
        void onPromptCounted(int promptTokens);

        /** Called once when the request has ended, with any outcome. */
        void onDone();
    }

    PromptExchange(
            FrontContext context,
            AdmittedRequest admitted,
            PromptRequest request,
            ServerResponse response,
            Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.request = request;
        this.response = response;
        this.listener = listener;
        this.sequencer = new TokenSequencer(request.parsed().maxTokens());
        this.writer = new CompletionWriter(response, admitted.request(), request.parsed());
    }

    void start() {
        long remaining = admitted.remainingNanos(context.ticker().read());
        deadlineTimer = response.eventLoop().schedule(this::onDeadline, remaining, TimeUnit.NANOSECONDS);
        response.onClose(this::onCallerDisconnected);
        response.onWritabilityChanged(this::onWritabilityChanged);
        acquire();
    }

    private void acquire() {
        if (done) {
            return;
        }
        attemptCount++;
        queuedAttempt = context.nextAttempt();
        AttemptId attempt = queuedAttempt;
        GrantRequest grantRequest = new GrantRequest(
                attempt,
                admitted.organisation(),
                request.work(),
                admitted.deadlineNanos(),
                ImmutableSet.copyOf(failedTargets),
                false);
        context.grants().acquire(grantRequest, response.eventLoop(), new Grants.Listener() {
            @Override
            public void onGranted(ImmutableList<Target> targets, int priority) {
                PromptExchange.this.onGranted(attempt, targets, priority);
            }

            @Override
            public void onRefused(RequestException refusal) {
                onGrantRefused(attempt, refusal);
            }
        });
    }

    private void onGrantRefused(AttemptId attempt, RequestException refusal) {
        if (done || !attempt.equals(queuedAttempt)) {
            return;
        }
        queuedAttempt = null;
        if (refusal.kind() == ErrorKind.NO_TARGET && !failedTargets.isEmpty()) {
            // Every engine has failed once; a failed engine may have recovered.
            failedTargets.clear();
            response.eventLoop().schedule(this::acquire, RECOVERY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        fail(refusal);
    }

    private void onGranted(AttemptId attempt, ImmutableList<Target> targets, int priority) {
        if (done || !attempt.equals(queuedAttempt)) {
            context.grants().withdraw(attempt);
            return;
        }
        long now = context.ticker().read();
        long remaining = admitted.remainingNanos(now);
        if (remaining == 0) {
            onDeadline();
            return;
        }
        queuedAttempt = null;
        runningAttempt = new RunningAttempt(attempt, targets, priority);
        submitted = false;
        if (attemptCount == 1) {
            context.retryPolicy()
                    .onFirstAttempt(
                            admitted.organisation(), runningAttempt.engine().id());
        }
        context.metrics().queued(admitted.organisation(), request.lengthClass(), now - admitted.arrivalNanos());
        if (runningAttempt.isGang()) {
            reserve(attempt, Duration.ofNanos(remaining));
        } else {
            submit(false);
        }
    }

    private void reserve(AttemptId attempt, Duration remaining) {
        ImmutableList<Target> gang = runningAttempt.targets();
        context.gangs()
                .reserve(gang, attempt, request.neededTokens(), remaining)
                .thenAccept(reserved -> response.eventLoop().execute(() -> {
                    if (isStray(attempt)) {
                        context.gangs().release(gang, attempt);
                    } else if (reserved) {
                        submit(false);
                    } else {
                        onFailure(attempt, TargetFailure.notSent("an engine of the gang has not enough free memory"));
                    }
                }));
    }

    private void submit(boolean resume) {
        AttemptId attempt = runningAttempt.attempt();
        submitted = true;
        Optional<String> gang = runningAttempt.isGang() ? Optional.of(attempt.toString()) : Optional.empty();
        EngineClient.Submission submission = new EngineClient.Submission(
                admitted.request(),
                attempt,
                request.parsed().model(),
                request.body(),
                ByteBuffer.wrap(sequencer.delivered().getBytes(StandardCharsets.UTF_8)),
                request.promptTokens(),
                request.parsed().maxTokens(),
                sequencer.nextIndex(),
                resume,
                runningAttempt.priority(),
                remaining(),
                gang);
        handle = context.engines()
                .submit(runningAttempt.engine(), submission, new AttemptListener(attempt, response.eventLoop(), this));
    }

    private Duration remaining() {
        return Duration.ofNanos(admitted.remainingNanos(context.ticker().read()));
    }

    private boolean isStray(AttemptId attempt) {
        boolean stray =
                done || runningAttempt == null || !runningAttempt.attempt().equals(attempt);
        if (stray) {
            context.metrics().strayMessage();
            context.log().write(LogEvent.STRAY_MESSAGE, attempt);
        }
        return stray;
    }

    @Override
    public void onToken(AttemptId attempt, int index, String text) {
        if (isStray(attempt)) {
            return;
        }
        switch (sequencer.onToken(index, text)) {
            case DELIVER -> deliver(text);
            case DROP -> context.metrics().strayMessage();
            default ->
                abortAttempt(
                        TargetFailure.broken("received token " + index + ", expected token " + sequencer.nextIndex()));
        }
    }

    private void deliver(String text) {
        long now = context.ticker().read();
        if (sequencer.nextIndex() == 1) {
            context.metrics().firstToken(admitted.organisation(), request.lengthClass(), now - admitted.arrivalNanos());
        } else {
            context.metrics().betweenTokens(admitted.organisation(), request.lengthClass(), now - lastTokenNanos);
        }
        lastTokenNanos = now;
        writer.writeToken(text);
        if (!response.isWritable()) {
            handle.setReadEnabled(false);
        }
    }

    @Override
    public void onEnd(AttemptId attempt, int count, int promptCount, String finishReason) {
        if (isStray(attempt)) {
            return;
        }
        if (!sequencer.onEnd(count)) {
            abortAttempt(TargetFailure.broken(
                    "the engine counted " + count + " tokens, " + sequencer.nextIndex() + " arrived"));
            return;
        }
        finishAttempt(Outcome.COMPLETED);
        long elapsed = context.ticker().read() - admitted.arrivalNanos();
        listener.onPromptCounted(promptCount);
        context.metrics().completed(admitted.organisation(), request.lengthClass(), elapsed);
        writer.writeEnd(count, promptCount, finishReason);
        close();
    }

    private void abortAttempt(TargetFailure failure) {
        RunningAttempt failedAttempt = runningAttempt;
        handle.close();
        context.releases().cancel(failedAttempt.engine(), failedAttempt.attempt());
        failOver(failure);
    }

    @Override
    public void onFailure(AttemptId attempt, TargetFailure failure) {
        if (isStray(attempt)) {
            return;
        }
        if (canResume(failure)) {
            resumeCount++;
            response.eventLoop().schedule(() -> resume(attempt), RESUME_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        failOver(failure);
    }

    private void failOver(TargetFailure failure) {
        RunningAttempt failedAttempt = runningAttempt;
        AttemptId attempt = failedAttempt.attempt();
        context.log().write(LogEvent.TARGET_FAILED, failedAttempt.engine().id(), attempt, failure.message());
        finishAttempt(Outcome.FAILED);
        if (failure.sent() && !failure.refused()) {
            context.releases().cancel(failedAttempt.engine(), attempt);
        }
        if (!failedAttempt.isGang()) {
            failedTargets.add(failedAttempt.engine().id());
        }
        retry(failedAttempt.engine().id(), failure);
    }

    /** Returns whether the engine may still be running the sequence although its connection failed. */
    private boolean canResume(TargetFailure failure) {
        return submitted
                && failure.sent()
                && !failure.refused()
                && sequencer.nextIndex() > 0
                && resumeCount < MAX_RESUMES;
    }

    private void resume(AttemptId attempt) {
        if (done || runningAttempt == null || !runningAttempt.attempt().equals(attempt)) {
            return;
        }
        context.metrics().resumed();
        submit(true);
    }

    private void retry(TargetId engine, TargetFailure failure) {
        FailedAttempt attempt = new FailedAttempt(
                admitted.organisation(), engine, failure, true, anythingSent, attemptCount, remaining());
        anythingSent = attempt.anythingSent();
        switch (context.retryPolicy().decide(attempt)) {
            case RetryDecision.Retry retry -> {
                context.metrics().retried();
                response.eventLoop().schedule(this::acquire, retry.delay().toMillis(), TimeUnit.MILLISECONDS);
            }
            case RetryDecision.GiveUp giveUp ->
                fail(RequestException.of(giveUp.kind(), "the last attempt failed: " + failure.message())
                        .withExecutionStatus(giveUp.executionStatus()));
        }
    }

    private void finishAttempt(Outcome outcome) {
        context.grants().finish(runningAttempt.attempt(), runningAttempt.engine(), sequencer.nextIndex(), outcome);
        if (runningAttempt.isGang()) {
            context.gangs().release(runningAttempt.targets(), runningAttempt.attempt());
        }
        runningAttempt = null;
    }

    private void onWritabilityChanged() {
        if (runningAttempt != null && submitted) {
            handle.setReadEnabled(response.isWritable());
        }
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        anythingSent |= runningAttempt != null && submitted;
        stopWork();
        ErrorKind kind = anythingSent ? ErrorKind.TIMED_OUT : ErrorKind.TIMED_OUT_NOT_RUN;
        fail(RequestException.of(kind, "the request's time limit passed"));
    }

    private void onCallerDisconnected() {
        if (done) {
            return;
        }
        stopWork();
        context.metrics().callerDisconnected();
        close();
    }

    private void stopWork() {
        if (queuedAttempt != null) {
            context.grants().withdraw(queuedAttempt);
            queuedAttempt = null;
        }
        if (runningAttempt != null && submitted) {
            handle.close();
            context.releases().cancel(runningAttempt.engine(), runningAttempt.attempt());
        }
        if (runningAttempt != null) {
            finishAttempt(Outcome.CANCELLED);
        }
    }

    private void fail(RequestException failure) {
        RequestException reported = anythingSent && failure.executionStatus() == ExecutionStatus.NO
                ? failure.withUnknownExecutionStatus()
                : failure;
        context.log().write(LogEvent.REQUEST_FAILED, admitted.request(), reported.kind(), reported.getMessage());
        context.metrics().failed(reported.kind());
        if (writer.isStarted()) {
            response.write(ByteBuffer.wrap(ErrorBodies.event(reported)));
            response.end();
        } else {
            ErrorBodies.send(response, reported, Optional.of(admitted.request()));
        }
        close();
    }

    private void close() {
        done = true;
        deadlineTimer.cancel(false);
        listener.onDone();
    }
}
