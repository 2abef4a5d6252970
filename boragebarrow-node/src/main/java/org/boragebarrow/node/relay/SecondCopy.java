package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;

/**
 * The second copy of one request: sent to another target once the first is late, and ended as soon as either answers.
 *
 * <p>At most one copy of a request is requested. Confined to the event loop.
 */
final class SecondCopy {
    /** What the copy needs of its request. */
    interface Request {
        /** Returns whether a copy may be sent now, apart from the quota. */
        boolean allowsCopy(RelayAttempt first);

        /** Returns an id for the attempt of the copy. */
        AttemptId nextAttemptId();

        /** Requests a target other than the first one; the decision may arrive during this call. */
        void requestCopyTarget(AttemptId id, RelayAttempt first);

        /** Returns why the copy cannot be sent to its target; empty if it can. */
        Optional<String> findObstacle(Assignment assignment);

        /** Takes the copy from the quotas of the host and of the request; returns whether they allow it. */
        boolean tryAcquireCopy();

        /** Gives back one of the request's own targets, as the copy was not sent. */
        void returnCopy();

        /** Creates the attempt of the copy. */
        RelayAttempt open(Work work, Assignment assignment);
    }

    private final RelayContext context;
    private final RelayTrace trace;
    private final Request request;
    private Optional<Future<?>> timer = Optional.empty();
    private Optional<AttemptId> requested = Optional.empty();
    private Optional<RelayAttempt> attempt = Optional.empty();
    private boolean used;

    SecondCopy(RelayContext context, RelayTrace trace, Request request) {
        this.context = context;
        this.trace = trace;
        this.request = request;
    }

    /** Requests a copy once the answer to the first attempt, which has just been sent, is late. */
    void watch(RelayAttempt first) {
        Optional<Duration> lateAfter = first.lateAfter();
        if (!used && lateAfter.isPresent()) {
            long nanos = lateAfter.get().toNanos();
            timer = Optional.of(context.loop().schedule(() -> onLate(first), nanos, TimeUnit.NANOSECONDS));
        }
    }

    private void onLate(RelayAttempt first) {
        if (used || first.hasAnswered() || !request.allowsCopy(first)) {
            return;
        }
        used = true;
        context.metrics().copy("asked");
        AttemptId id = request.nextAttemptId();
        requested = Optional.of(id);
        request.requestCopyTarget(id, first);
    }

    /** Returns whether a copy is requested or in progress. */
    boolean isActive() {
        return requested.isPresent() || attempt.isPresent();
    }

    /** Returns the attempt of the copy, if it is in progress. */
    Optional<RelayAttempt> attempt() {
        return attempt;
    }

    /** Handles the decision on the request for a target. */
    void onDecided(Work work, AssignEffect.Decided decided) {
        if (!requested.equals(Optional.of(work.id()))) {
            context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
            return;
        }
        requested = Optional.empty();
        switch (decided) {
            case AssignEffect.Refused refused -> {
                context.metrics().copyRefused(refused.reason());
                trace.copy(work.id(), "refused", refused.reason().name());
            }
            case AssignEffect.Assigned assigned -> send(work, assigned.assignment());
        }
    }

    private void send(Work work, Assignment assignment) {
        Optional<String> obstacle = request.findObstacle(assignment);
        if (obstacle.isEmpty() && !request.tryAcquireCopy()) {
            obstacle = Optional.of("no repeat is left");
        }
        if (obstacle.isPresent()) {
            context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
            count(work.id(), "withdrawn", obstacle.get());
            return;
        }
        RelayAttempt copy = request.open(work, assignment);
        attempt = Optional.of(copy);
        count(work.id(), "sent", assignment.target().id().value());
        copy.start();
    }

    private void count(AttemptId id, String state, String reason) {
        context.metrics().copy(state);
        trace.copy(id, state, reason);
    }

    /** Withdraws the request for a target and stops waiting; a copy in progress continues. */
    void withdraw(String reason) {
        timer.ifPresent(pending -> pending.cancel(false));
        timer = Optional.empty();
        if (requested.isPresent()) {
            AttemptId id = requested.get();
            requested = Optional.empty();
            context.assignments().reportEnd(id, Outcome.WITHDRAWN);
            count(id, "withdrawn", reason);
        }
    }

    /** Ends a copy in whichever state it is. */
    void cancel(String reason) {
        withdraw(reason);
        attempt.ifPresent(copy -> {
            copy.close(Outcome.WITHDRAWN);
            count(copy.id(), "withdrawn", reason);
        });
        attempt = Optional.empty();
    }

    /** Ends the copy if it needs the target and nothing of it was sent. */
    void takeBackFrom(TargetIncarnation target) {
        if (attempt.map(copy -> !copy.isSent() && copy.needs(target)).orElse(false)) {
            takeBack();
        }
    }

    /** Ends the copy if it would reach a target that accepts no new work any more, and nothing of it was sent. */
    void takeBackIfUnusable() {
        if (attempt.map(copy -> !copy.isSent() && copy.findUnusable().isPresent())
                .orElse(false)) {
            takeBack();
        }
    }

    private void takeBack() {
        request.returnCopy();
        cancel("its target wants no new work");
    }

    /**
     * Settles on the attempt that answers first and ends the other one; returns the attempt that the request continues
     * with from now on.
     */
    RelayAttempt settle(RelayAttempt first, RelayAttempt answering) {
        if (attempt.isEmpty() || answering == first) {
            cancel("the first target answered");
            return first;
        }
        withdraw("the copy answered");
        first.close(Outcome.WITHDRAWN);
        attempt = Optional.empty();
        count(answering.id(), "won", answering.target().id().value());
        return answering;
    }

    /** Forgets the copy, which failed or replaces the first attempt. */
    Optional<RelayAttempt> detach() {
        Optional<RelayAttempt> detached = attempt;
        attempt = Optional.empty();
        return detached;
    }
}
