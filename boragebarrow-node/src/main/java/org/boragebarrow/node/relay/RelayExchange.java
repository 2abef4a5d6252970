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
import org.boragebarrow.model.Ran;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.TargetId;

/** One request from its arrival to its answer; confined to the event loop. */
final class RelayExchange {
    /** The least time left for which a timer is set again; timers fire up to this much early. */
    static final long TIMER_SLACK_NANOS = 1_000_000;

    /** An attempt with less time than this ends before its target's first pass does. */
    private static final Duration LEAST_REMAINING = Duration.ofMillis(60);

    /** How often targets may turn out to be unreachable, or assignments out of date, before the request fails. */
    private static final int MAX_MISSES = 4;

    /** When a caller may come back after its target refused: by then the assigner has heard of it. */
    private static final Duration REFUSED_RETURN = Duration.ofMillis(200);

    /** Returning callers are spread over half of the time more, in thousandths. */
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
                request.limit().filter(told -> told.compareTo(timeout) < 0).orElse(timeout);
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

    /** Asks for another target while the present one is silent; it is left only if there is another. */
    void seekAlternative(RelayAttempt silent) {
        if (asked.isPresent()) {
            return;
        }
        excluded = with(silent.target().id());
        ask();
    }

    private void onAlternative(RelayAttempt silent, Work work, AssignEffect.Decided effect) {
        switch (effect) {
            case AssignEffect.Refused refused -> keep(silent, "no other target: " + refused.reason());
            case AssignEffect.Assigned assigned -> move(silent, work, assigned.assignment());
        }
    }

    private void keep(RelayAttempt silent, String reason) {
        trace.kept(silent, reason);
        silent.waitOn();
    }

    private void move(RelayAttempt silent, Work work, Assignment assignment) {
        if (!silent.isStalled() || !mayRepeat(true)) {
            context.assignments().ended(work.id(), Outcome.WITHDRAWN);
            keep(silent, silent.isStalled() ? "no repeat is left" : "it spoke again");
            return;
        }
        silent.close(Outcome.SILENT);
        current = Optional.empty();
        mayHaveRun = true;
        trace.attemptFailed(silent, Outcome.SILENT, true, true, "no event for too long");
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

    private void again(TargetId without) {
        excluded =
                ImmutableSet.<TargetId>builder().addAll(excluded).add(without).build();
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

    /** Starts the answer with the head of its first attempt; later attempts go on under it. */
    void begin(TargetCalls.Head head) {
        if (!begun) {
            begun = true;
            response.start(head.status(), head.headers());
        }
    }

    /** Takes note that the caller received an event; its patience counts anew from there. */
    void eventDelivered(long now) {
        waitingSince = now;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Ends the request with a failure; a stream that has begun is broken off instead. */
    private void fail(ErrorKind kind, String reason, Duration retryAfter) {
        finish();
        if (begun) {
            trace.broken(sequence.last(), sentTo, reason);
            context.metrics().failed(ErrorKind.TARGET_FAILED);
            response.abort();
            return;
        }
        ErrorKind told = mayHaveRun && kind.ran() == Ran.NO ? unknownKind() : kind;
        trace.refused(told, sentTo, reason);
        context.metrics().failed(told);
        Duration back = retryAfter
                .multipliedBy(WHOLE + context.random().nextInt(SPREAD))
                .dividedBy(WHOLE);
        Answers.send(response, RequestException.of(told, reason, told.retryable() ? back : Duration.ZERO));
    }

    private ErrorKind unknownKind() {
        return route().kind().repeatable() ? ErrorKind.TARGET_FAILED : ErrorKind.OUTCOME_UNKNOWN;
    }

    private void onLimit() {
        if (finished) {
            return;
        }
        long left = remaining().toNanos();
        if (left > TIMER_SLACK_NANOS) {
            limitTimer = Optional.of(context.loop().schedule(this::onLimit, left, TimeUnit.NANOSECONDS));
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

    /** Ends whatever is under way towards a target. */
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

    /** Decides what follows an attempt that failed. */
    void onAttemptFailed(RelayAttempt attempt, Outcome outcome, boolean ran, String reason) {
        boolean unreachable = outcome == Outcome.UNREACHABLE && !ran;
        if (unreachable) {
            sentTo--;
        }
        conclude(attempt, outcome, ran, unreachable || mayRepeat(ran), reason);
    }

    /** Ends a failed attempt and goes on as was decided. */
    void conclude(RelayAttempt attempt, Outcome outcome, boolean ran, boolean retried, String reason) {
        attempt.close(outcome);
        current = Optional.empty();
        mayHaveRun |= ran;
        trace.attemptFailed(attempt, outcome, ran, retried, reason);
        withdrawQuestion();
        if (retried) {
            context.metrics().retried();
            if (outcome == Outcome.REFUSED) {
                // One of the helpers may be the cause, and naming it is up to the target.
                attempt.helpers().forEach(helper -> excluded = with(helper));
            }
            again(attempt.target().id());
            return;
        }
        fail(mayHaveRun ? unknownKind() : ErrorKind.NO_TARGET, reason, REFUSED_RETURN);
    }

    /** Returns whether the request may go to one more target as far as it itself is concerned. */
    boolean couldRepeat(boolean ran) {
        boolean safe = !ran || route().kind().repeatable();
        return safe && sentTo < route().maxTargets() && remaining().compareTo(LEAST_REMAINING) > 0;
    }

    /** Returns whether the request may go to one more target, and takes that repeat from the host's share. */
    boolean mayRepeat(boolean ran) {
        return couldRepeat(ran)
                && context.retries()
                        .tryRepeat(destination.service(), context.ticker().read());
    }
}
