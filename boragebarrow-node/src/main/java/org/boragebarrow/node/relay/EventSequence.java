package org.boragebarrow.node.relay;

import java.util.OptionalLong;

/**
 * Merges the events of consecutive attempts at one stream without gaps or duplicates.
 *
 * <p>Not thread-safe.
 */
final class EventSequence {
    private OptionalLong last;

    /** How an event is handled. */
    enum Verdict {
        /** The event is the next one. */
        DELIVER,
        /** The caller has already received the event. */
        DROP,
        /** An event before this one is missing. */
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

    /** Returns the id of the last event that the caller has received. */
    OptionalLong last() {
        return last;
    }
}
