package org.boragebarrow.decision.observe;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.TargetId;

/** The effects of an {@link Observer}; requests to targets may fail, and their answers may be lost. */
public sealed interface ObserveEffect {
    /** Polls the target; the event with the result repeats the number of the poll. */
    record Poll(TargetId target, long number) implements ObserveEffect {}

    /** Requests from an engine the list of sequences, reservations and exports that hold memory. */
    record ListHoldings(TargetId target) implements ObserveEffect {}

    /** Cancels a sequence that has no live owner or is past its time limit. */
    record CancelSequence(TargetId target, AttemptId attempt) implements ObserveEffect {}

    /** Releases a reservation that has no live owner or is past its time limit. */
    record ReleaseReservation(TargetId target, AttemptId attempt) implements ObserveEffect {}

    /** Deletes an exported cache that has no live owner or is older than the maximum time limit of a request. */
    record DeleteExport(TargetId target, String export) implements ObserveEffect {}

    /** Sends the statuses of the targets that this host monitors to all hosts of the zone. */
    record ShareStatuses(ImmutableMap<TargetId, TargetStatus> statuses) implements ObserveEffect {}

    /** Reports that the aggregated status of a target changed; the initial status is reachable and accepting. */
    record TargetChanged(TargetId target, TargetStatus status) implements ObserveEffect {}
}
