package org.boragebarrow.node.assign;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.Assignments;

/** An assignment of this host that is in use. Confined to the event loop. */
final class HeldAssignment {
    private final PendingRequest request;
    private final TargetId target;
    private final ImmutableList<HelperTarget.Ref> helpers;
    private boolean firstEventSeen;

    HeldAssignment(PendingRequest request, Assignment assignment) {
        this.request = request;
        this.target = assignment.target().id();
        this.helpers = assignment.helperRefs();
    }

    AttemptId id() {
        return request.work().id();
    }

    Assignments.DecisionListener listener() {
        return request.listener();
    }

    void onFirstEvent() {
        firstEventSeen = true;
    }

    AssignEvent.AssignmentReported toEvent(long now) {
        return new AssignEvent.AssignmentReported(request.workAt(now), target, helpers, firstEventSeen);
    }
}
