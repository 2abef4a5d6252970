package org.boragebarrow.node.relay;

import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.AttemptId;

/** Requests targets for attempts from the assigner; confined to the event loop. Never blocks. */
public interface Assignments {
    /** Receives the decision on one request for a target. */
    interface DecisionListener {
        /** Receives the decision on the relay's event loop. */
        void onDecided(AssignEffect.Decided effect);

        /**
         * Receives the prediction that the attempt's target sends no events for some time; ignored by default. The
         * target is assigned by then.
         */
        default void onPauseExpected(AssignEffect.PauseExpected expected) {}
    }

    /** Requests a target; the decision may arrive during this call or after the request was queued. */
    void submit(Work work, DecisionListener listener);

    /** Reports that a target refuses connections after one to it had ended before its answer was complete. */
    void reportRefusedConnection(FleetTarget target);

    /** Reports the first event of the attempt's response. */
    void reportFirstEvent(AttemptId id);

    /** Reports that the attempt ended, or withdraws its request for a target. */
    void reportEnd(AttemptId id, Outcome outcome);
}
