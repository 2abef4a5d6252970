package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableSet;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.TargetId;

/** One request from its arrival to its response; confined to the event loop. */
final class RelayExchange {
    /** The shortest remaining time for which a timer is set again; timers fire up to this much early. */
    static final long TIMER_SLACK_NANOS = 1_000_000;

    /** An attempt with less time than this would end before its target's first pass does. */
    private static final Duration LEAST_REMAINING = Duration.ofMillis(60);

    /** Maximum number of further requests for a target, as after unreachable targets or outdated assignments. */
    private static final int MAX_MISSES = 4;

    /** Retry delay after a target refused: by then the assigner has received the report of it. */
    private static final Duration REFUSED_RETURN = Duration.ofMillis(200);

    /** Upper bound of the jitter that is added to a retry delay, in thousandths of the delay: half of it. */
    private static final int SPREAD = 500;

    private static final int WHOLE = 1_000;

    private final RelayContext context;
    private final Relay relay;
    private final RelayRequest request;
    private final ServerResponse response;
    private final Destination destination;
    private final RelayTrace trace;
    private final long arrival;
    private final long limitAt;
    private long waitingSince;
    private final EventSequence sequence;

    private ImmutableSet<TargetId> excluded = ImmutableSet.of();
    private Optional<RelayAttempt> current = Optional.empty();
    private Optional<AttemptId> asked = Optional.empty();
    private Optional<Future<?>> limitTimer = Optional.empty();
    private boolean begun;
    private boolean finished;
    private boolean mayHaveRun;
    private int sentTo;
    private int misses;

    RelayExchange(
            RelayContext context,
            Relay relay,
            RelayRequest request,
            ServerResponse response,
            Destination destination,
            long arrival) {
        this.context = context;
        this.relay = relay;
        this.request = request;
        this.response = response;
        this.destination = destination;
        this.arrival = arrival;
        this.waitingSince = arrival;
        this.trace = new RelayTrace(context, request, destination, arrival);
        Duration timeout = destination.route().timeout();
        Duration limit =
                request.limit().filter(callerLimit -> callerLimit.compareTo(timeout) < 0).orElse(timeout);
        this.limitAt = arrival + limit.toNanos();
        this.sequence = new EventSequence(request.resumeAfter());
    }

    void start() {
        limitTimer =
                Optional.of(context.loop().schedule(this::onLimit, remaining().toNanos(), TimeUnit.NANOSECONDS));
        response.onClose(this::onCallerLeft);
        context.retries().onRequest(destination.service(), arrival);
        ask();
    }

    RelayRequest request() {
        return request;
    }

    ServerResponse response() {
        return response;
    }

    Route route() {
        return destination.route();
    }

    Optional<OrganisationId> organisation() {
        return destination.organisation();
    }

    EventSequence sequence() {
        return sequence;
    }

    Duration remaining() {
        return Duration.ofNanos(limitAt - context.ticker().read());
    }

    private void ask() {
        AttemptId id = AttemptId.of(context.self(), relay.nextAttempt());
        asked = Optional.of(id);
        Work work = new Work(
                id,
                destination.service(),
                context.zone(),
                request.size(),
                route().objective(),
                route().pauseObjective(),
                Duration.ofNanos(context.ticker().read() - waitingSince),
                remaining(),
                excluded);
        context.assignments().submit(work, effect -> onDecided(work, effect));
    }

    private void onDecided(Work work, AssignEffect.Decided effect) {
        if (finished || !asked.equals(Optional.of(effect.id()))) {
            context.assignments().ended(effect.id(), Outcome.WITHDRAWN);
            return;
        }
        asked = Optional.empty();
        if (current.isPresent()) {
            onAlternative(current.get(), work, effect);
            return;
        }
        switch (effect) {
            case AssignEffect.Assigned assigned -> send(work, assigned.assignment());
            case AssignEffect.Refused refused -> {
                trace.unassigned(refused, excluded.size());
                fail(kindOf(refused.reason()), "no target: " + refused.reason(), refused.retryAfter());
            }
        }
    }

    /** Requests another target while the current one is unresponsive; the request moves only if there is another. */
    void seekAlternative(RelayAttempt stalled) {
        if (asked.isPresent()) {
            return;
        }
        excluded = with(stalled.target().id());
        ask();
    }

    private void onAlternative(RelayAttempt stalled, Work work, AssignEffect.Decided effect) {
        switch (effect) {
            case AssignEffect.Refused refused -> keep(stalled, "no other target: " + refused.reason());
            case AssignEffect.Assigned assigned -> move(stalled, work, assigned.assignment());
        }
    }

    private void keep(RelayAttempt stalled, String reason) {
        trace.kept(stalled, reason);
        stalled.waitOn();
    }

    private void move(RelayAttempt stalled, Work work, Assignment assignment) {
        if (!stalled.isStalled() || !mayRepeat(true)) {
            context.assignments().ended(work.id(), Outcome.WITHDRAWN);
            keep(stalled, stalled.isStalled() ? "no repeat is left" : "it spoke again");
            return;
        }
        stalled.close(Outcome.SILENT);
        current = Optional.empty();
        mayHaveRun = true;
        trace.attemptFailed(stalled, Outcome.SILENT, true, true, "no event within the stall timeout");
        context.metrics().retried();
        send(work, assignment);
    }

    private static ErrorKind kindOf(RefusalReason reason) {
        return switch (reason) {
            case NO_TARGET, TOO_LARGE -> ErrorKind.NO_TARGET;
            case OVERLOADED -> ErrorKind.OVERLOADED;
            case TOO_LATE -> ErrorKind.DEADLINE_UNREACHABLE;
        };
    }

    private void send(Work work, Assignment assignment) {
        FleetTarget target = assignment.target();
        if (!response.isOpen()) {
            context.assignments().ended(work.id(), Outcome.WITHDRAWN);
            onCallerLeft();
            return;
        }
        if (!context.fleet().isUsable(target)) {
            trace.overruled(target);
            context.assignments().ended(work.id(), Outcome.WITHDRAWN);
            again(target.id());
            return;
        }
        if (remaining().compareTo(LEAST_REMAINING) < 0) {
            context.assignments().ended(work.id(), Outcome.WITHDRAWN);
            fail(ErrorKind.DEADLINE_UNREACHABLE, "too little time is left for any target", REFUSED_RETURN);
            return;
        }
        RelayAttempt attempt = new RelayAttempt(context, this, work.id(), assignment);
        current = Optional.of(attempt);
        sentTo++;
        trace.assigned(work, assignment, sentTo);
        attempt.start();
    }

    private void again(TargetId failed) {
        excluded =
                ImmutableSet.<TargetId>builder().addAll(excluded).add(failed).build();
        misses++;
        if (misses > MAX_MISSES) {
            fail(ErrorKind.NO_TARGET, "no target could be reached", REFUSED_RETURN);
            return;
        }
        ask();
    }

    private ImmutableSet<TargetId> with(TargetId target) {
        return ImmutableSet.<TargetId>builder().addAll(excluded).add(target).build();
    }

    /** Starts the response with the head of the first attempt; later attempts continue it. */
    void begin(TargetCalls.Head head) {
        if (!begun) {
            begun = true;
            response.start(head.status(), head.headers());
        }
    }

    /** Records that the caller was sent an event; its abandonment time counts from there. */
    void eventDelivered(long now) {
        waitingSince = now;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Ends the request with a failure; a stream that has started is aborted instead. */
    private void fail(ErrorKind kind, String reason, Duration retryAfter) {
        finish();
        if (begun) {
            trace.broken(sequence.last(), sentTo, reason);
            context.metrics().failed(ErrorKind.TARGET_FAILED);
            response.abort();
            return;
        }
        ErrorKind reported = mayHaveRun && kind.executionStatus() == ExecutionStatus.NO ? unknownKind() : kind;
        trace.refused(reported, sentTo, reason);
        context.metrics().failed(reported);
        Duration delay = retryAfter
                .multipliedBy(WHOLE + context.random().nextInt(SPREAD))
                .dividedBy(WHOLE);
        Answers.send(response, RequestException.of(reported, reason, reported.retryable() ? delay : Duration.ZERO));
    }

    private ErrorKind unknownKind() {
        return route().kind().repeatable() ? ErrorKind.TARGET_FAILED : ErrorKind.OUTCOME_UNKNOWN;
    }

    private void onLimit() {
        if (finished) {
            return;
        }
        long remainingNanos = remaining().toNanos();
        if (remainingNanos > TIMER_SLACK_NANOS) {
            limitTimer = Optional.of(context.loop().schedule(this::onLimit, remainingNanos, TimeUnit.NANOSECONDS));
            return;
        }
        mayHaveRun |= current.isPresent();
        drop();
        ErrorKind kind = mayHaveRun ? ErrorKind.TIMED_OUT : ErrorKind.DEADLINE_UNREACHABLE;
        fail(kind, "the time limit passed", REFUSED_RETURN);
    }

    private void onCallerLeft() {
        if (finished) {
            return;
        }
        trace.left(current.map(RelayAttempt::state).orElse("unassigned"), sequence.last(), sentTo);
        context.metrics().callerGone();
        drop();
        finish();
    }

    /** Withdraws the pending request for a target and ends the current attempt. */
    private void drop() {
        withdrawQuestion();
        current.ifPresent(attempt -> attempt.close(Outcome.WITHDRAWN));
        current = Optional.empty();
    }

    private void withdrawQuestion() {
        asked.ifPresent(id -> context.assignments().ended(id, Outcome.WITHDRAWN));
        asked = Optional.empty();
    }

    private void finish() {
        finished = true;
        limitTimer.ifPresent(timer -> timer.cancel(false));
        relay.closed(this);
    }

    void answered(RelayAttempt attempt, int status, long bytes) {
        withdrawQuestion();
        finish();
        trace.answered(attempt, status, bytes, sentTo);
    }

    /** Handles a failed attempt: the request is retried or fails. */
    void onAttemptFailed(RelayAttempt attempt, Outcome outcome, boolean ran, String reason) {
        boolean unreachable = outcome == Outcome.UNREACHABLE && !ran;
        if (unreachable) {
            sentTo--;
        }
        conclude(attempt, outcome, ran, unreachable || mayRepeat(ran), reason);
    }

    /** Ends a failed attempt, and retries or fails the request as decided. */
    void conclude(RelayAttempt attempt, Outcome outcome, boolean ran, boolean retried, String reason) {
        attempt.close(outcome);
        current = Optional.empty();
        mayHaveRun |= ran;
        trace.attemptFailed(attempt, outcome, ran, retried, reason);
        withdrawQuestion();
        if (retried) {
            context.metrics().retried();
            if (outcome == Outcome.REFUSED) {
                // One of the helpers may be the cause, and the target need not name it.
                attempt.helpers().forEach(helper -> excluded = with(helper));
            }
            again(attempt.target().id());
            return;
        }
        fail(mayHaveRun ? unknownKind() : ErrorKind.NO_TARGET, reason, REFUSED_RETURN);
    }

    /** Returns whether the request may be sent to one more target, apart from the host's retry quota. */
    boolean couldRepeat(boolean ran) {
        boolean safe = !ran || route().kind().repeatable();
        return safe && sentTo < route().maxTargets() && remaining().compareTo(LEAST_REMAINING) > 0;
    }

    /** Returns whether the request may be sent to one more target, and takes the retry from the host's quota. */
    boolean mayRepeat(boolean ran) {
        return couldRepeat(ran)
                && context.retries()
                        .tryRetry(destination.service(), context.ticker().read());
    }
}
