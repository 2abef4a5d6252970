package org.boragebarrow.node.front;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.dispatch.DispatchEvent.Outcome;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.decision.retry.FailedAttempt;
import org.boragebarrow.decision.retry.RetryDecision;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.ServiceClient;
import org.boragebarrow.port.TargetFailure;

/**
 * One call of a plain service from admission to its response.
 *
 * <p>Confined to one event loop. A call that is not repeatable is never sent again once any byte of it may have been
 * sent.
 */
final class ServiceExchange {
    /** A call as it is sent to the service. */
    record Request(ServiceName service, String path, ServerRequest received, boolean repeatable) {
        /** Returns the same call, marked as not repeatable. */
        Request withoutRetries() {
            return new Request(service, path, received, false);
        }
    }

    /** Receives the end of the exchange. */
    interface Listener {
        /** Called with the complete response. */
        void onAnswer(ServiceAnswer answer);

        /** Called on failure; {@code sent} is whether any byte of the call may have been sent. */
        void onFailure(RequestException failure, boolean sent);
    }

    private final FrontContext context;
    private final AdmittedRequest admitted;
    private final Request request;
    private final EventLoop loop;
    private final Listener listener;
    private final Set<TargetId> failed = new LinkedHashSet<>();

    private Future<?> deadlineTimer;
    private AttemptId queuedAttempt;
    private AttemptId runningAttempt;
    private Target runningTarget;
    private EngineClient.CallHandle handle;
    private ServiceAnswer.Builder answerBuilder;
    private int attemptCount;
    private boolean anythingSent;
    private boolean done;

    ServiceExchange(
            FrontContext context, AdmittedRequest admitted, Request request, EventLoop loop, Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.request = request;
        this.loop = loop;
        this.listener = listener;
    }

    void start() {
        long remaining = admitted.remainingNanos(context.ticker().read());
        deadlineTimer = loop.schedule(this::onDeadline, remaining, TimeUnit.NANOSECONDS);
        acquire();
    }

    /** Cancels the call, unless it is not repeatable and an attempt is running: that attempt continues. */
    void onCallerDisconnected() {
        if (done) {
            return;
        }
        context.metrics().callerDisconnected();
        boolean mustContinue = runningAttempt != null && !request.repeatable();
        if (mustContinue) {
            return;
        }
        stopWork();
        fail(KeyedFailures.callerDisconnected());
    }

    private void acquire() {
        if (done) {
            return;
        }
        attemptCount++;
        AttemptId attempt = context.nextAttempt();
        queuedAttempt = attempt;
        GrantRequest grantRequest = new GrantRequest(
                attempt,
                admitted.organisation(),
                new Work.ServiceCall(request.service()),
                admitted.deadlineNanos(),
                ImmutableSet.copyOf(failed),
                false);
        context.grants().acquire(grantRequest, loop, new Grants.Listener() {
            @Override
            public void onGranted(ImmutableList<Target> targets, int priority) {
                startCall(attempt, targets.get(0));
            }

            @Override
            public void onRefused(RequestException refusal) {
                if (!done && attempt.equals(queuedAttempt)) {
                    queuedAttempt = null;
                    fail(refusal);
                }
            }
        });
    }

    private void startCall(AttemptId attempt, Target target) {
        if (done || !attempt.equals(queuedAttempt)) {
            context.grants().withdraw(attempt);
            return;
        }
        long remaining = admitted.remainingNanos(context.ticker().read());
        if (remaining == 0) {
            onDeadline();
            return;
        }
        queuedAttempt = null;
        runningAttempt = attempt;
        runningTarget = target;
        if (attemptCount == 1) {
            context.retryPolicy().onFirstAttempt(admitted.organisation(), target.id());
        }
        answerBuilder = new ServiceAnswer.Builder();
        ServerRequest received = request.received();
        ServiceClient.Call call = new ServiceClient.Call(
                admitted.request(),
                attempt,
                received.method(),
                request.path(),
                received.headers(),
                received.body(),
                Duration.ofNanos(remaining));
        handle = context.services().call(target, call, new AnswerListener(attempt));
    }

    /** Passes the events of one attempt to the exchange's event loop. */
    private final class AnswerListener implements ServiceClient.Listener {
        private final AttemptId attempt;

        AnswerListener(AttemptId attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onHead(int status, ImmutableListMultimap<String, String> headers) {
            run(() -> answerBuilder.setHead(status, headers));
        }

        @Override
        public void onBody(ByteBuffer part) {
            run(() -> {
                if (!answerBuilder.add(part)) {
                    handle.close();
                    failed(TargetFailure.broken("the response is longer than " + ServiceAnswer.MAX_BYTES + " bytes"));
                }
            });
        }

        @Override
        public void onEnd() {
            run(() -> {
                context.grants().finish(attempt, runningTarget, 0, Outcome.COMPLETED);
                runningAttempt = null;
                close();
                listener.onAnswer(answerBuilder.build());
            });
        }

        @Override
        public void onFailure(TargetFailure failure) {
            run(() -> failed(failure));
        }

        private void run(Runnable action) {
            if (!loop.inEventLoop()) {
                loop.execute(() -> run(action));
                return;
            }
            if (done || !attempt.equals(runningAttempt)) {
                context.metrics().strayMessage();
                return;
            }
            action.run();
        }
    }

    private void failed(TargetFailure failure) {
        Target target = runningTarget;
        context.log().write(LogEvent.TARGET_FAILED, target.id(), runningAttempt, failure.message());
        context.grants().finish(runningAttempt, target, 0, Outcome.FAILED);
        failed.add(target.id());
        runningAttempt = null;
        Duration remaining =
                Duration.ofNanos(admitted.remainingNanos(context.ticker().read()));
        FailedAttempt attempt = new FailedAttempt(
                admitted.organisation(),
                target.id(),
                failure,
                request.repeatable(),
                anythingSent,
                attemptCount,
                remaining);
        anythingSent = attempt.anythingSent();
        switch (context.retryPolicy().decide(attempt)) {
            case RetryDecision.Retry retry -> {
                context.metrics().retried();
                loop.schedule(this::acquire, retry.delay().toMillis(), TimeUnit.MILLISECONDS);
            }
            case RetryDecision.GiveUp giveUp ->
                fail(RequestException.of(giveUp.kind(), "the last attempt failed: " + failure.message())
                        .withExecutionStatus(giveUp.executionStatus()));
        }
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        anythingSent |= runningAttempt != null;
        stopWork();
        ErrorKind kind = anythingSent ? ErrorKind.TIMED_OUT : ErrorKind.TIMED_OUT_NOT_RUN;
        fail(RequestException.of(kind, "the request's time limit passed"));
    }

    private void stopWork() {
        if (queuedAttempt != null) {
            context.grants().withdraw(queuedAttempt);
            queuedAttempt = null;
        }
        if (runningAttempt != null) {
            handle.close();
            context.grants().finish(runningAttempt, runningTarget, 0, Outcome.CANCELLED);
            runningAttempt = null;
        }
    }

    private void fail(RequestException failure) {
        RequestException reported = anythingSent && failure.executionStatus() == ExecutionStatus.NO
                ? failure.withUnknownExecutionStatus()
                : failure;
        context.log().write(LogEvent.REQUEST_FAILED, admitted.request(), reported.kind(), reported.getMessage());
        context.metrics().failed(reported.kind());
        close();
        listener.onFailure(reported, anythingSent);
    }

    private void close() {
        done = true;
        deadlineTimer.cancel(false);
    }
}
