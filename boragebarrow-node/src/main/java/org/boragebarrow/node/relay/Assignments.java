package org.boragebarrow.node.relay;

import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.model.AttemptId;

/** Asks for targets; thread-safe, and never blocks. */
public interface Assignments {
    /** Receives one decision. */
    interface Decision {
        /** Receives the decision, on the event loop of the relay. */
        void onDecided(AssignEffect.Decided effect);
    }

    /** Asks for a target; the decision may come at once or after waiting. */
    void submit(Work work, Decision decision);

    /** Tells that the first event of the attempt's answer came. */
    void firstEvent(AttemptId id);

    /** Tells that the attempt ended, or that no target is wanted any more. */
    void ended(AttemptId id, Outcome outcome);
}
