package org.boragebarrow.node.relay;

/** The events of a host's decision log; their numbers are never reused. docs/EVENTS.md lists them. */
public enum RelayEvent {
    /** The process has started and listens on its ports. */
    STARTED(7001),
    /** The process received the signal to stop. */
    STOPPING(7002),
    /** The process has ended its drain and exits. */
    STOPPED(7003),
    /** The settings were reloaded. */
    RELOADED(7004),
    /** The host became ready or stopped being ready. */
    READY(7005),
    /** Generated requests were relayed, or the warm-up failed, before the host reported that it is ready. */
    WARMED_UP(7006),
    /** Requests that arrived before the first reads of the store were answered are handled from now on. */
    EARLY_REQUESTS(7007),
    /** A dependency became unavailable. */
    LOST(7010),
    /** A dependency is available again. */
    REGAINED(7011),
    /** The store has come back from an older copy; a table was read again. */
    STORE_ERA(7012),
    /** A version of the routing was read; {@code taken} states whether it took effect. */
    ROUTING(7020),
    /** A version, an entry or a message was invalid, or a duty failed to handle an event. */
    UNUSABLE(7021),
    /** A target's entry changed. */
    TARGET(7022),
    /** A target turned a request away and wants no requests of this host for some time. */
    TARGET_QUIET(7023),
    /** A target sent bytes that belong to no request. */
    UNEXPECTED_BYTES(7024),
    /** Operators emptied a zone or took it back. */
    ZONE(7025),
    /** The assigner began to take a target for slow, or ended to; {@code slowness} is 1 then. */
    TARGET_PACE(7026),
    /** A target's entry states that it is cold. */
    TARGET_COLD(7027),
    /** A target was assigned to an attempt. */
    ASSIGNED(7030),
    /** The assigner refused to assign a target to an attempt. */
    UNASSIGNED(7031),
    /** An assignment was not used because its target is not usable in this host's view of the fleet. */
    OVERRULED(7032),
    /** An attempt failed; {@code retried} states whether another one follows. */
    ATTEMPT_FAILED(7033),
    /** Memory of a target could not be reserved, renewed or released. */
    RESERVATION_FAILED(7034),
    /** A request stayed with a target that had been unresponsive for longer than the stall timeout. */
    KEPT(7035),
    /** A target crashed: its connections to several hosts ended, or it refuses connections since one ended. */
    TARGET_CRASHED(7036),
    /** A part of prompts was quarantined, or its quarantine was lifted. */
    QUARANTINE(7037),
    /** A second copy of a slow request was sent, won, withdrawn or refused. */
    SECOND_COPY(7039),
    /** A target's response was sent to the caller. */
    ANSWERED(7040),
    /** The host itself sent an error response. */
    REFUSED(7041),
    /** A stream was aborted. */
    BROKEN(7042),
    /** The caller disconnected. */
    LEFT(7043),
    /** The link to a peer changed. */
    PEER(7050),
    /** The host that assigns targets changed. */
    ASSIGNER(7051),
    /** The host that polls a table of the store for its zone sent changes, or is excluded for a while. */
    WATCHER(7052),
    /** The event loop ran late, or bytes are queued on links to other hosts. */
    BUSY(7060),
    /** Lines were dropped because the log's queue was full. */
    LINES_DROPPED(7099);

    private final int number;

    RelayEvent(int number) {
        this.number = number;
    }

    /** Returns the event's number. */
    public int number() {
        return number;
    }
}
