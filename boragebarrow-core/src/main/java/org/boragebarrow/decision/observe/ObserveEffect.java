package org.boragebarrow.decision.observe;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.TargetId;

/** What an observer wants done; requests to targets may fail or lose their answers. */
public sealed interface ObserveEffect {
    /** Polls the target; the answer carries the same number. */
    record Poll(TargetId target, long poll) implements ObserveEffect {}

    /** Asks an engine what holds its memory. */
    record ListHoldings(TargetId target) implements ObserveEffect {}

    /** Cancels a sequence that has no owner or is past its time limit. */
    record CancelSequence(TargetId target, AttemptId attempt) implements ObserveEffect {}

    /** Releases a reservation that has no owner or is past its time limit. */
    record ReleaseReservation(TargetId target, AttemptId attempt) implements ObserveEffect {}

    /** Deletes an exported cache that has no owner. */
    record DeleteExport(TargetId target, String export) implements ObserveEffect {}

    /** Tells all hosts of the zone what this host found out about the targets that it watches. */
    record ShareVerdicts(ImmutableMap<TargetId, Verdict> verdicts) implements ObserveEffect {}

    /** The joint verdict of a target's observers changed; every target starts as reachable and accepting. */
    record TargetChanged(TargetId target, Verdict verdict) implements ObserveEffect {}
}
