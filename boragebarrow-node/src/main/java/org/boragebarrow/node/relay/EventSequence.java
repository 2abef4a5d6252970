package org.boragebarrow.node.relay;

import java.util.OptionalLong;

/**
 * Joins the events of several attempts at one stream without a gap or a repetition.
 *
 * <p>Not thread-safe.
 */
final class EventSequence {
    private OptionalLong last;

    /** What to do with an event. */
    enum Verdict {
        /** It is the next one. */
        DELIVER,
        /** The caller has it already. */
        DROP,
        /** One before it is missing. */
        GAP
    }

    EventSequence(OptionalLong resumeAfter) {
        this.last = resumeAfter;
    }

    Verdict onEvent(OptionalLong id) {
        if (id.isEmpty()) {
            return Verdict.DELIVER;
        }
        if (last.isPresent() && id.getAsLong() <= last.getAsLong()) {
            return Verdict.DROP;
        }
        if (last.isPresent() && id.getAsLong() > last.getAsLong() + 1) {
            return Verdict.GAP;
        }
        last = id;
        return Verdict.DELIVER;
    }

    /** Returns the last event that the caller has. */
    OptionalLong last() {
        return last;
    }
}
