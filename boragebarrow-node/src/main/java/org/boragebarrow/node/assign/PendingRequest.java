package org.boragebarrow.node.assign;

import java.time.Duration;
import java.util.Optional;

import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.Assignments;

/** A request of this host that has no decision yet. Confined to the event loop. */
final class PendingRequest {
    private final Work work;
    private final Assignments.DecisionListener listener;
    private final long submittedAt;
    private Optional<Future<?>> timer = Optional.empty();

    PendingRequest(Work work, Assignments.DecisionListener listener, long submittedAt) {
        this.work = work;
        this.listener = listener;
        this.submittedAt = submittedAt;
    }

    /** Returns the work as it was submitted. */
    Work work() {
        return work;
    }

    /** Returns the work with its age and remaining time as of {@code now}. */
    Work workAt(long now) {
        return work.withElapsed(Duration.ofNanos(now - submittedAt));
    }

    Assignments.DecisionListener listener() {
        return listener;
    }

    long submittedAt() {
        return submittedAt;
    }

    /** Returns the same request without one more target. */
    PendingRequest excluding(TargetId target) {
        return new PendingRequest(work.excluding(target), listener, submittedAt);
    }

    void startTimer(Future<?> future) {
        timer = Optional.of(future);
    }

    void stopTimer() {
        timer.ifPresent(future -> future.cancel(false));
        timer = Optional.empty();
    }

    /** Returns whether the timer has fired and was not stopped. */
    boolean isTimerDone() {
        return timer.map(Future::isDone).orElse(false);
    }
}
