package org.boragebarrow.decision.routing;

/** What may be repeated of a route's requests. */
public enum RequestKind {
    /** May run any number of times. */
    REPEATABLE(false, true),
    /** Runs at most once for each attempt of the caller. */
    ONCE(false, false),
    /** A series of events that another target may go on with after the last one that was received. */
    RESUMABLE_STREAM(true, true),
    /** A series of events that runs at most once. */
    ONCE_STREAM(true, false);

    private final boolean streamed;
    private final boolean repeatable;

    RequestKind(boolean streamed, boolean repeatable) {
        this.streamed = streamed;
        this.repeatable = repeatable;
    }

    /** Returns whether the answer is a series of events that are passed on as they come. */
    public boolean streamed() {
        return streamed;
    }

    /** Returns whether the request may be sent again after it may have run. */
    public boolean repeatable() {
        return repeatable;
    }
}
