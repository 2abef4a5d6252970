package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableSet;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.routing.ServiceProfile;
import org.boragebarrow.decision.shutdown.ShutdownDeadline;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.UrgencyRank;

/** One request from its arrival to its response; confined to the event loop. */
final class RelayExchange {
    /** The shortest remaining time for which a timer is set again; timers fire up to this much early. */
    static final long TIMER_SLACK_NANOS = 1_000_000;

    /** An attempt with less time than this would end before its target's first pass does. */
    private static final Duration MIN_REMAINING = Duration.ofMillis(60);

    /** Maximum number of further requests for a target, as after unreachable targets or outdated assignments. */
    private static final int MAX_REASSIGNMENTS = 4;

    /** Retry delay after a target refused: by then the assigner has received the report of it. */
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofMillis(200);

    /** Upper bound of the jitter that is added to a retry delay, in thousandths of the delay: half of it. */
    private static final int RETRY_JITTER = 500;

    private static final int THOUSANDTHS = 1_000;

    private final RelayContext context;
    private final Relay relay;
    private final RelayRequest request;
    private final ServerResponse response;
    private final RelayTrace trace;
    private final long arrival;
    private final long deadline;
    private Destination destination;
    private long waitingSince;
    private final EventSequence sequence;
    private final long callerKey;
    private final SecondCopy copy;

    private ImmutableSet<TargetId> excluded = ImmutableSet.of();
    private Optional<RelayAttempt> current = Optional.empty();
    private Optional<AttemptId> requestedAttempt = Optional.empty();
    private Optional<Future<?>> deadlineTimer = Optional.empty();
    private Optional<Future<?>> shutdownTimer = Optional.empty();
    private boolean responseStarted;
    private boolean settled;
    private boolean finished;
    private boolean mayHaveRun;
    private int targetsTried;
    private int crashes;
    private int reassignments;

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
        Duration limit = request.timeLimit()
                .filter(callerLimit -> callerLimit.compareTo(timeout) < 0)
                .orElse(timeout);
        this.deadline = arrival + limit.toNanos();
        this.sequence = new EventSequence(request.resumeAfter());
        this.callerKey = CallerKeys.of(request, destination.organisation());
        this.copy = new SecondCopy(context, trace, new CopyRequest());
    }

    void start() {
        deadlineTimer = Optional.of(
                context.loop().schedule(this::onDeadline, remaining().toNanos(), TimeUnit.NANOSECONDS));
        response.onClose(this::onCallerDisconnected);
        response.onWritabilityChanged(
                () -> current.ifPresent(attempt -> attempt.setReadEnabled(response.isWritable())));
        context.retryQuota().onRequest(destination.service(), arrival);
        requestAssignment();
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

    Optional<UrgencyRank> rank() {
        return destination.rank();
    }

    EventSequence sequence() {
        return sequence;
    }

    Duration remaining() {
        return Duration.ofNanos(deadline - context.ticker().read());
    }

    private void requestAssignment() {
        limitWait();
        if (finished) {
            return;
        }
        AttemptId id = nextAttemptId();
        requestedAttempt = Optional.of(id);
        Work work = work(id, excluded, terms());
        context.assignments().submit(work, new Assignments.DecisionListener() {
            @Override
            public void onDecided(AssignEffect.Decided effect) {
                RelayExchange.this.onDecided(work, effect);
            }

            @Override
            public void onPauseExpected(AssignEffect.PauseExpected expected) {
                expectPause(expected);
            }
        });
    }

    private void expectPause(AssignEffect.PauseExpected expected) {
        Stream.concat(current.stream(), copy.attempt().stream())
                .filter(attempt -> attempt.id().equals(expected.id()))
                .forEach(attempt -> attempt.expectPause(expected.pause()));
    }

    private AttemptId nextAttemptId() {
        return AttemptId.of(context.self(), relay.nextAttemptNumber());
    }

    private Work work(AttemptId id, ImmutableSet<TargetId> unwanted, WorkTerms terms) {
        return new Work(
                id,
                destination.service(),
                context.zone(),
                request.promptSize(),
                route().objective(),
                route().pauseObjective(),
                Duration.ofNanos(context.ticker().read() - waitingSince),
                remaining(),
                unwanted,
                request.promptParts(),
                crashes,
                terms);
    }

    private WorkTerms terms() {
        WorkTerms.Purpose purpose = targetsTried == 0 && excluded.isEmpty() && current.isEmpty()
                ? WorkTerms.Purpose.FIRST
                : WorkTerms.Purpose.REPEAT;
        return destination
                .terms()
                .withPurpose(purpose)
                .withDuplicable(isDuplicable())
                .withClosedZones(context.emptied().zones())
                .withCallerKey(callerKey);
    }

    private boolean isDuplicable() {
        return context.retryQuota().allowsDuplicates() && route().kind().repeatable() && route().maxTargets() > 1;
    }

    /** Begins to wait for a late answer once the attempt has been sent. */
    void onSent(RelayAttempt attempt) {
        if (isDuplicable() && !responseStarted) {
            copy.watch(attempt);
        }
    }

    /** Continues with the attempt that answers; the other copy of the request, if there is one, ends at once. */
    void settleOn(RelayAttempt answering) {
        if (!settled) {
            settled = true;
            current = current.map(first -> copy.settle(first, answering));
        }
    }

    private final class CopyRequest implements SecondCopy.Request {
        @Override
        public boolean allowsCopy(RelayAttempt first) {
            return !finished
                    && current.equals(Optional.of(first))
                    && requestedAttempt.isEmpty()
                    && !responseStarted
                    && crashes == 0
                    && relay.shutdown().isEmpty()
                    && canRetry(true)
                    && context.retryQuota()
                            .canDuplicate(
                                    destination.service(), context.ticker().read());
        }

        @Override
        public AttemptId nextAttemptId() {
            return RelayExchange.this.nextAttemptId();
        }

        @Override
        public void requestCopyTarget(AttemptId id, RelayAttempt first) {
            ImmutableSet<TargetId> unwanted = excludedWith(first.target().id());
            Work work = work(id, unwanted, terms().withPurpose(WorkTerms.Purpose.DUPLICATE));
            context.assignments().submit(work, new Assignments.DecisionListener() {
                @Override
                public void onDecided(AssignEffect.Decided effect) {
                    copy.onDecided(work, effect);
                }

                @Override
                public void onPauseExpected(AssignEffect.PauseExpected expected) {
                    expectPause(expected);
                }
            });
        }

        @Override
        public Optional<String> findObstacle(Assignment assignment) {
            if (!response.isOpen()) {
                return Optional.of("the caller has left");
            }
            if (findUnusable(assignment).isPresent()) {
                return Optional.of("its target wants no new work");
            }
            boolean fits = canRetry(true) && canEndBeforeShutdown(assignment);
            return fits ? Optional.empty() : Optional.of("no time or target is left");
        }

        @Override
        public boolean tryAcquireCopy() {
            boolean acquired = context.retryQuota()
                    .tryDuplicate(destination.service(), context.ticker().read());
            targetsTried += acquired ? 1 : 0;
            return acquired;
        }

        @Override
        public void returnCopy() {
            targetsTried--;
        }

        @Override
        public RelayAttempt open(Work work, Assignment assignment) {
            trace.assigned(work, assignment, targetsTried);
            return new RelayAttempt(context, RelayExchange.this, work.id(), assignment);
        }
    }

    private void onDecided(Work work, AssignEffect.Decided effect) {
        if (finished || !requestedAttempt.equals(Optional.of(effect.id()))) {
            context.assignments().reportEnd(effect.id(), Outcome.WITHDRAWN);
            return;
        }
        requestedAttempt = Optional.empty();
        if (current.isPresent()) {
            onAlternativeDecided(current.get(), work, effect);
            return;
        }
        switch (effect) {
            case AssignEffect.Assigned assigned -> send(work, assigned.assignment());
            case AssignEffect.Refused refused -> {
                trace.unassigned(refused, excluded.size());
                Duration delay = hasOwnPlace(refused.reason()) ? refused.retryAfter() : spread(refused.retryAfter());
                context.metrics().unassigned(refused.reason());
                fail(kindOf(refused.reason()), "no target: " + refused.reason(), delay);
            }
        }
    }

    /** Requests another target while the current one is unresponsive; the request moves only if there is another. */
    void requestAlternative(RelayAttempt stalled) {
        if (requestedAttempt.isPresent()) {
            return;
        }
        if (copy.isActive()) {
            stalled.keepWaiting();
            return;
        }
        excluded = excludedWith(stalled.target().id());
        requestAssignment();
    }

    private void onAlternativeDecided(RelayAttempt stalled, Work work, AssignEffect.Decided effect) {
        switch (effect) {
            case AssignEffect.Refused refused -> keepTarget(stalled, "no other target: " + refused.reason());
            case AssignEffect.Assigned assigned -> switchTarget(stalled, work, assigned.assignment());
        }
    }

    private void keepTarget(RelayAttempt stalled, String reason) {
        trace.kept(stalled, reason);
        stalled.keepWaiting();
    }

    private void switchTarget(RelayAttempt stalled, Work work, Assignment assignment) {
        if (!stalled.isStalled()) {
            declineAlternative(stalled, work, "the target sent an event meanwhile");
            return;
        }
        if (!canEndBeforeShutdown(assignment)) {
            declineAlternative(stalled, work, "the host would exit before another answer's end");
            return;
        }
        if (!tryAcquireRetry(true)) {
            declineAlternative(stalled, work, "no retry is left");
            return;
        }
        stalled.close(Outcome.SILENT);
        context.metrics().attemptFailed(Outcome.SILENT);
        current = Optional.empty();
        mayHaveRun = true;
        trace.attemptFailed(stalled, Outcome.SILENT, true, true, "no event within the stall timeout");
        context.metrics().retried();
        send(work, assignment);
    }

    private void declineAlternative(RelayAttempt stalled, Work work, String reason) {
        context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
        keepTarget(stalled, reason);
    }

    /** Returns whether the assigner gave each refused caller a time of its own, as opposed to one time for all. */
    private static boolean hasOwnPlace(RefusalReason reason) {
        return switch (reason) {
            case QUIET, ZONES_EMPTIED, OUTSIDE_HOMES -> false;
            default -> true;
        };
    }

    private static ErrorKind kindOf(RefusalReason reason) {
        return switch (reason) {
            case NO_TARGET, ZONES_EMPTIED, OUTSIDE_HOMES, TOO_LARGE -> ErrorKind.NO_TARGET;
            case OVERLOADED, OVER_SHARE, DISPLACED, QUIET, COPIES_SPENT, COPIES_PAUSED -> ErrorKind.OVERLOADED;
            case TOO_LATE -> ErrorKind.DEADLINE_UNREACHABLE;
            case QUARANTINED -> ErrorKind.PROMPT_QUARANTINED;
            case SUSPECTED -> ErrorKind.TARGET_FAILED;
        };
    }

    private void send(Work work, Assignment assignment) {
        if (!response.isOpen()) {
            context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
            onCallerDisconnected();
            return;
        }
        Optional<FleetTarget> unusable = findUnusable(assignment);
        if (unusable.isPresent()) {
            trace.overruled(unusable.get());
            context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
            reassignWithout(unusable.get().id());
            return;
        }
        if (remaining().compareTo(MIN_REMAINING) < 0) {
            context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
            fail(ErrorKind.DEADLINE_UNREACHABLE, "too little time is left for any target", spread(REFUSED_RETRY_DELAY));
            return;
        }
        if (!canEndBeforeShutdown(assignment)) {
            context.assignments().reportEnd(work.id(), Outcome.WITHDRAWN);
            fail(
                    ErrorKind.SHUTTING_DOWN,
                    "the host would exit before the answer's end",
                    spread(Relay.STOPPING_RETRY_DELAY));
            return;
        }
        RelayAttempt attempt = new RelayAttempt(context, this, work.id(), assignment);
        current = Optional.of(attempt);
        targetsTried++;
        trace.assigned(work, assignment, targetsTried);
        attempt.start();
    }

    /** Returns whether the request may be sent to the target now, in this host's view. */
    boolean mayReach(FleetTarget target) {
        return context.isUsable(target)
                && context.regions().get().allows(destination.terms().homes(), target.zone());
    }

    /** Applies the homes of a new configuration, which also bind a request that waits for a target. */
    void onNewRouting(RoutingTable table) {
        Destination updated = destination.withHomesOf(table, request.host(), request.path());
        if (finished || updated.equals(destination)) {
            return;
        }
        destination = updated;
        if (current.isEmpty() && requestedAttempt.isPresent()) {
            withdrawAssignmentRequest();
            requestAssignment();
        }
        takeBackIfUnusable();
    }

    /** Returns a target that the attempt needs and that accepts no new work in this host's view. */
    private Optional<FleetTarget> findUnusable(Assignment assignment) {
        return assignment.needed().stream().filter(needed -> !mayReach(needed)).findFirst();
    }

    /** Places the request elsewhere if a target that the attempt needs accepts no new work; returns whether it does. */
    boolean takeBackIfUnusable(RelayAttempt attempt) {
        Optional<FleetTarget> unusable = findUnusable(attempt.assignment());
        unusable.ifPresent(target -> takeBackFrom(target.incarnation()));
        return unusable.isPresent();
    }

    /** Ends the current attempt if it needs the target and nothing of it was sent, and requests another target. */
    void takeBackFrom(TargetIncarnation target) {
        copy.takeBackFrom(target);
        current.filter(attempt -> attempt.needs(target)).ifPresent(attempt -> takeBack(attempt, target));
    }

    /** Places the request elsewhere if its current attempt would reach a target that accepts no new work any more. */
    void takeBackIfUnusable() {
        copy.takeBackIfUnusable();
        if (current.isPresent()) {
            RelayAttempt attempt = current.get();
            attempt.findUnusable().ifPresent(target -> takeBack(attempt, target.incarnation()));
        }
    }

    private void takeBack(RelayAttempt waiting, TargetIncarnation target) {
        if (finished || waiting.isSent()) {
            return;
        }
        waiting.close(Outcome.WITHDRAWN);
        targetsTried--;
        trace.takenBack(waiting, target);
        if (!continueWithOther(waiting)) {
            reassignWithout(target.id());
        }
    }

    /** Continues with the other copy after one ended; returns false if there is none, and withdraws the request for it. */
    private boolean continueWithOther(RelayAttempt ended) {
        boolean isCopy = copy.attempt().equals(Optional.of(ended));
        Optional<RelayAttempt> second = copy.detach();
        copy.withdraw("the first attempt ended");
        if (!isCopy) {
            current = second;
        }
        return current.isPresent();
    }

    void extendReservations(TargetIncarnation target) {
        copy.attempt().ifPresent(attempt -> attempt.extendReservations(target, remaining()));
        current.ifPresent(attempt -> attempt.extendReservations(target, remaining()));
    }

    private void reassignWithout(TargetId failed) {
        excluded = ImmutableSet.<TargetId>builder().addAll(excluded).add(failed).build();
        reassignments++;
        if (reassignments > MAX_REASSIGNMENTS) {
            fail(ErrorKind.NO_TARGET, "no target could be reached", spread(REFUSED_RETRY_DELAY));
            return;
        }
        requestAssignment();
    }

    private ImmutableSet<TargetId> excludedWith(TargetId target) {
        return ImmutableSet.<TargetId>builder().addAll(excluded).add(target).build();
    }

    /** Starts the response with the head of the first attempt; later attempts continue it. */
    void startResponse(TargetCalls.Head head) {
        if (!responseStarted) {
            responseStarted = true;
            response.start(head.status(), head.headers());
        }
    }

    /** Records that the caller was sent an event; its abandonment time counts from there. */
    void onEventDelivered(long now) {
        waitingSince = now;
    }

    boolean isResponseStarted() {
        return responseStarted;
    }

    /** Ends the request with a failure; a stream that has started is aborted instead. */
    private void fail(ErrorKind kind, String reason, Duration retryAfter) {
        finish();
        if (responseStarted) {
            trace.streamAborted(sequence.lastId(), targetsTried, reason);
            context.metrics().failed(ErrorKind.TARGET_FAILED);
            response.abort();
            return;
        }
        RequestException failure = toException(kind, reason, retryAfter);
        ErrorKind reported = failure.kind();
        trace.refused(failure, targetsTried, reason);
        context.metrics().failed(reported);
        ErrorResponses.send(response, failure);
    }

    private RequestException toException(ErrorKind kind, String reason, Duration retryAfter) {
        boolean mayHaveRunDespiteKind = mayHaveRun && kind.executionStatus() == ExecutionStatus.NO;
        if (mayHaveRunDespiteKind && kind == ErrorKind.PROMPT_QUARANTINED) {
            return RequestException.of(kind, reason).withUnknownExecutionStatus();
        }
        ErrorKind reported = mayHaveRunDespiteKind ? kindAfterRun() : kind;
        return RequestException.of(reported, reason, reported.retryable() ? retryAfter : Duration.ZERO);
    }

    /** Returns a somewhat longer delay, so that callers that are refused in one moment return one after the other. */
    private Duration spread(Duration delay) {
        return delay.multipliedBy(THOUSANDTHS + context.random().nextInt(RETRY_JITTER))
                .dividedBy(THOUSANDTHS);
    }

    /** Fails the request if its prompt is quarantined, unless the current target is already sending its answer. */
    void failIfQuarantined() {
        boolean answering =
                current.map(attempt -> attempt.timeToFirstEventMillis() >= 0).orElse(false);
        Optional<QuarantineEntry> entry = context.quarantine().find(destination.service(), request.promptParts());
        if (finished || answering || entry.isEmpty()) {
            return;
        }
        mayHaveRun |= current.isPresent();
        cancelAttempt();
        fail(ErrorKind.PROMPT_QUARANTINED, Relay.quarantineMessage(entry.get()), Duration.ZERO);
    }

    /** While the host is stopping, refuses the request once no target could answer it before the process exits. */
    void limitWait() {
        Optional<ShutdownDeadline> shutdown = relay.shutdown();
        if (finished || current.isPresent() || shutdown.isEmpty()) {
            return;
        }
        shutdownTimer.ifPresent(timer -> timer.cancel(false));
        int engines = context.fleet().usable(destination.service()).size();
        Duration service = ShutdownDeadline.shortestService(engineProfile(), request.promptSize(), engines);
        Duration wait = shutdown.get().longestWait(service, context.ticker().read());
        if (wait.toNanos() > TIMER_SLACK_NANOS) {
            shutdownTimer = Optional.of(context.loop().schedule(this::limitWait, wait.toNanos(), TimeUnit.NANOSECONDS));
            return;
        }
        cancelAttempt();
        fail(
                ErrorKind.SHUTTING_DOWN,
                "the host exits before any target could answer",
                spread(Relay.STOPPING_RETRY_DELAY));
    }

    private boolean canEndBeforeShutdown(Assignment assignment) {
        long now = context.ticker().read();
        return relay.shutdown()
                .map(shutdown -> shutdown.allowsSending(
                        assignment.predictedTimeToFirstEvent(), engineProfile(), request.promptSize(), now))
                .orElse(true);
    }

    private Optional<EngineProfile> engineProfile() {
        return context.routing()
                .current()
                .flatMap(table -> table.service(destination.service()))
                .flatMap(ServiceProfile::engine);
    }

    /** Ends the request because the process is about to exit. */
    void endForShutdown() {
        mayHaveRun |= Stream.concat(current.stream(), copy.attempt().stream()).anyMatch(RelayAttempt::isSent);
        cancelAttempt();
        fail(ErrorKind.SHUTTING_DOWN, "the host exits before the answer's end", spread(Relay.STOPPING_RETRY_DELAY));
    }

    private ErrorKind kindAfterRun() {
        return route().kind().repeatable() ? ErrorKind.TARGET_FAILED : ErrorKind.OUTCOME_UNKNOWN;
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        long remainingNanos = remaining().toNanos();
        if (remainingNanos > TIMER_SLACK_NANOS) {
            deadlineTimer =
                    Optional.of(context.loop().schedule(this::onDeadline, remainingNanos, TimeUnit.NANOSECONDS));
            return;
        }
        mayHaveRun |= current.isPresent();
        cancelAttempt();
        ErrorKind kind = mayHaveRun ? ErrorKind.TIMED_OUT : ErrorKind.DEADLINE_UNREACHABLE;
        fail(kind, "the time limit passed", spread(REFUSED_RETRY_DELAY));
    }

    private void onCallerDisconnected() {
        if (finished) {
            return;
        }
        trace.callerDisconnected(
                current.map(RelayAttempt::state).orElse("unassigned"), sequence.lastId(), targetsTried);
        context.metrics().callerDisconnected();
        cancelAttempt();
        finish();
    }

    /** Withdraws the pending request for a target and ends the current attempt. */
    private void cancelAttempt() {
        withdrawAssignmentRequest();
        copy.cancel("the request ended");
        current.ifPresent(attempt -> attempt.close(Outcome.WITHDRAWN));
        current = Optional.empty();
    }

    private void withdrawAssignmentRequest() {
        requestedAttempt.ifPresent(id -> context.assignments().reportEnd(id, Outcome.WITHDRAWN));
        requestedAttempt = Optional.empty();
    }

    private void finish() {
        finished = true;
        copy.withdraw("the request ended");
        deadlineTimer.ifPresent(timer -> timer.cancel(false));
        shutdownTimer.ifPresent(timer -> timer.cancel(false));
        relay.onExchangeClosed(this);
    }

    void onAnswered(RelayAttempt attempt, int status, long bytes) {
        withdrawAssignmentRequest();
        finish();
        trace.answered(attempt, status, bytes, targetsTried);
    }

    /** Handles a failed attempt: the request is retried or fails. */
    void onAttemptFailed(RelayAttempt attempt, Outcome outcome, boolean ran, String reason) {
        boolean unreachable = outcome == Outcome.UNREACHABLE && !ran;
        if (unreachable || outcome == Outcome.REPLACED) {
            targetsTried--;
        }
        endAttempt(attempt, outcome, ran, hasOther() || unreachable || tryAcquireRetry(ran), reason);
    }

    /** Returns whether another copy of the request is in progress. */
    private boolean hasOther() {
        return copy.attempt().isPresent() && current.isPresent();
    }

    /** Returns whether the request can continue without the attempt: with its other copy, or with a retry that is taken. */
    boolean tryAcquireOther() {
        return hasOther() || tryAcquireRetry(true);
    }

    /** Ends a failed attempt, and retries or fails the request as decided. */
    void endAttempt(RelayAttempt attempt, Outcome outcome, boolean ran, boolean retried, String reason) {
        attempt.close(outcome);
        context.metrics().attemptFailed(outcome);
        mayHaveRun |= ran;
        if (outcome == Outcome.ABORTED) {
            crashes += attempt.timeToFirstEventMillis() < 0 ? 1 : 0;
            relay.crashChecks().check(attempt.target());
        }
        trace.attemptFailed(attempt, outcome, ran, retried, reason);
        withdrawAssignmentRequest();
        if (continueWithOther(attempt)) {
            excluded = excludedWith(attempt.target().id());
            return;
        }
        if (retried) {
            context.metrics().retried();
            if (outcome == Outcome.REFUSED) {
                // One of the helpers may be the cause, and the target need not name it.
                attempt.helpers().forEach(helper -> excluded = excludedWith(helper));
            }
            reassignWithout(attempt.target().id());
            return;
        }
        fail(mayHaveRun ? kindAfterRun() : ErrorKind.NO_TARGET, reason, spread(REFUSED_RETRY_DELAY));
    }

    /** Returns whether the request may be sent to one more target, apart from the host's retry quota. */
    boolean canRetry(boolean ran) {
        boolean safe = !ran || route().kind().repeatable();
        return safe && targetsTried < route().maxTargets() && remaining().compareTo(MIN_REMAINING) > 0;
    }

    /** Returns whether the request may be sent to one more target, and takes the retry from the host's quota. */
    boolean tryAcquireRetry(boolean ran) {
        return canRetry(ran)
                && context.retryQuota()
                        .tryRetry(destination.service(), context.ticker().read());
    }
}
