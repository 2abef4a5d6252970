package org.boragebarrow.node.relay;

import java.util.OptionalLong;

/**
 * Merges the events of consecutive attempts at one stream without gaps or duplicates.
 *
 * <p>Not thread-safe.
 */
final class EventSequence {
    private OptionalLong lastId;

    /** How an event is handled. */
    enum Action {
        /** The event is the next one. */
        DELIVER,
        /** The caller has already received the event. */
        DROP,
        /** An event before this one is missing. */
        GAP
    }

    EventSequence(OptionalLong resumeAfter) {
        this.lastId = resumeAfter;
    }

    Action onEvent(OptionalLong id) {
        if (id.isEmpty()) {
            return Action.DELIVER;
        }
        if (lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
            return Action.DROP;
        }
        if (lastId.isPresent() && id.getAsLong() > lastId.getAsLong() + 1) {
            return Action.GAP;
        }
        lastId = id;
        return Action.DELIVER;
    }

    /** Returns the id of the last event that the caller has received. */
    OptionalLong lastId() {
        return lastId;
    }
}
