package org.boragebarrow.node.relay;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.google.common.base.Ascii;
import com.google.common.collect.ObjectArrays;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.http.client.ResponseOrigin;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.RequestException;

/** Writes the decisions on one request to the decision log; confined to the event loop. */
final class RelayTrace {
    private static final int MAX_PHRASE_CHARACTERS = 80;

    private final RelayContext context;
    private final RelayRequest request;
    private final Destination destination;
    private final long arrival;

    RelayTrace(RelayContext context, RelayRequest request, Destination destination, long arrival) {
        this.context = context;
        this.request = request;
        this.destination = destination;
        this.arrival = arrival;
    }

    /** Returns the ids of the prompt's shared parts, or {@code none}. */
    private String parts() {
        String ids =
                request.promptParts().shared().stream().map(PromptPartId::value).collect(Collectors.joining(","));
        return ids.isEmpty() ? "none" : ids;
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.ticker().read() - arrival);
    }

    void unassigned(AssignEffect.Refused refused, int excluded) {
        context.log()
                .write(
                        RelayEvent.UNASSIGNED,
                        "id",
                        request.id(),
                        "attempt",
                        refused.id(),
                        "service",
                        destination.service(),
                        "reason",
                        refused.reason(),
                        "organisation",
                        destination.organisation().map(OrganisationId::value).orElse("none"),
                        "rank",
                        destination.terms().rank().value(),
                        "retry_ms",
                        refused.retryAfter().toMillis(),
                        "age_ms",
                        ageMillis(),
                        "excluded",
                        excluded);
    }

    void overruled(FleetTarget target) {
        context.log()
                .write(
                        RelayEvent.OVERRULED,
                        "id",
                        request.id(),
                        "target",
                        target.id(),
                        "at",
                        target.endpoint(),
                        "reason",
                        "not usable in this host's view");
    }

    void takenBack(RelayAttempt attempt, TargetIncarnation target) {
        context.log()
                .write(
                        RelayEvent.OVERRULED,
                        "id",
                        request.id(),
                        "attempt",
                        attempt.id(),
                        "target",
                        target.id(),
                        "reason",
                        "the target wants no new work and nothing was sent yet");
    }

    void assigned(Work work, Assignment assignment, int number) {
        context.log()
                .write(
                        RelayEvent.ASSIGNED,
                        "id",
                        request.id(),
                        "attempt",
                        work.id(),
                        "number",
                        number,
                        "service",
                        destination.service(),
                        "target",
                        assignment.target().id(),
                        "at",
                        assignment.target().endpoint(),
                        "helpers",
                        helpers(assignment),
                        "tokens",
                        request.promptSize().map(PromptSize::promptTokens).orElse(0L),
                        "predicted_ms",
                        assignment.predictedTimeToFirstEvent().toMillis(),
                        "age_ms",
                        ageMillis(),
                        "left_ms",
                        work.remaining().toMillis());
    }

    private static String helpers(Assignment assignment) {
        return assignment.helpers().isEmpty()
                ? "none"
                : assignment.helpers().stream()
                        .map(helper -> helper.target().id().value())
                        .collect(Collectors.joining(","));
    }

    void attemptFailed(RelayAttempt attempt, Outcome outcome, boolean ran, boolean retried, String reason) {
        Object[] pairs = {
            "id",
            request.id(),
            "attempt",
            attempt.id(),
            "target",
            attempt.target().id(),
            "outcome",
            outcome,
            "ran",
            ran ? "unknown" : "no",
            "retried",
            retried,
            "first_ms",
            attempt.timeToFirstEventMillis(),
            "parts",
            parts(),
            "age_ms",
            ageMillis(),
            "reason",
            reason
        };
        context.log().write(RelayEvent.ATTEMPT_FAILED, ObjectArrays.concat(pairs, origin(attempt), Object.class));
    }

    /** Describes the connection of the attempt's response, if its head has been received. */
    private static Object[] origin(RelayAttempt attempt) {
        return attempt.origin().map(RelayTrace::describe).orElse(new Object[0]);
    }

    private static Object[] describe(ResponseOrigin origin) {
        return new Object[] {
            "connection",
            origin.connection(),
            "uses",
            origin.uses(),
            "connection_ms",
            origin.age().toMillis(),
            "idle_bytes",
            origin.idleBytes(),
            "skipped",
            origin.skippedResponses(),
            "phrase",
            Ascii.truncate(origin.reasonPhrase(), MAX_PHRASE_CHARACTERS, "...")
        };
    }

    void kept(RelayAttempt stalled, String reason) {
        context.log()
                .write(
                        RelayEvent.KEPT,
                        "id",
                        request.id(),
                        "attempt",
                        stalled.id(),
                        "target",
                        stalled.target().id(),
                        "age_ms",
                        ageMillis(),
                        "reason",
                        reason);
    }

    void copy(AttemptId attempt, String state, String reason) {
        context.log()
                .write(
                        RelayEvent.SECOND_COPY,
                        "id",
                        request.id(),
                        "attempt",
                        attempt,
                        "service",
                        destination.service(),
                        "state",
                        state,
                        "reason",
                        reason,
                        "age_ms",
                        ageMillis());
    }

    void refused(RequestException failure, int attempts, String reason) {
        context.log()
                .write(
                        RelayEvent.REFUSED,
                        "id",
                        request.id(),
                        "route",
                        destination.route().name(),
                        "kind",
                        failure.kind(),
                        "ran",
                        failure.executionStatus(),
                        "age_ms",
                        ageMillis(),
                        "attempts",
                        attempts,
                        "reason",
                        reason);
    }

    void streamAborted(OptionalLong lastEvent, int attempts, String reason) {
        context.log()
                .write(
                        RelayEvent.BROKEN,
                        "id",
                        request.id(),
                        "route",
                        destination.route().name(),
                        "last_event",
                        lastEvent.orElse(-1),
                        "age_ms",
                        ageMillis(),
                        "attempts",
                        attempts,
                        "reason",
                        reason);
    }

    void callerDisconnected(String state, OptionalLong lastEvent, int attempts) {
        context.log()
                .write(
                        RelayEvent.LEFT,
                        "id",
                        request.id(),
                        "state",
                        state,
                        "age_ms",
                        ageMillis(),
                        "attempts",
                        attempts,
                        "last_event",
                        lastEvent.orElse(-1));
    }

    void answered(RelayAttempt attempt, int status, long bytes, int attempts) {
        Object[] pairs = {
            "id",
            request.id(),
            "target",
            attempt.target().id(),
            "status",
            status,
            "bytes",
            bytes,
            "first_ms",
            attempt.timeToFirstEventMillis(),
            "predicted_ms",
            attempt.predictedTimeToFirstEvent().toMillis(),
            "pause_ms",
            attempt.longestPause().toMillis(),
            "age_ms",
            ageMillis(),
            "attempts",
            attempts
        };
        context.log().write(RelayEvent.ANSWERED, ObjectArrays.concat(pairs, origin(attempt), Object.class));
    }
}
