package org.boragebarrow.decision.routing;

/** States whether the responses of a route are streamed, and whether its requests may be retried. */
public enum RequestKind {
    /** May run any number of times. */
    REPEATABLE(false, true),
    /** May run at most once for each attempt of the caller. */
    AT_MOST_ONCE(false, false),
    /** A stream of events that another target may resume after the last event received. */
    RESUMABLE_STREAM(true, true),
    /** A stream of events that may run at most once. */
    AT_MOST_ONCE_STREAM(true, false);

    private final boolean streamed;
    private final boolean repeatable;

    RequestKind(boolean streamed, boolean repeatable) {
        this.streamed = streamed;
        this.repeatable = repeatable;
    }

    /** Returns whether the answer is a stream of events that are forwarded as they arrive. */
    public boolean streamed() {
        return streamed;
    }

    /** Returns whether a request that may have run may be sent again. */
    public boolean repeatable() {
        return repeatable;
    }
}
