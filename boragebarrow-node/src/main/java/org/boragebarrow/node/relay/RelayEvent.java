package org.boragebarrow.node.relay;

/** The decisions that a host writes to its decision log; numbers are never used again. docs/EVENTS.md lists them. */
public enum RelayEvent {
    /** The process starts to serve. */
    STARTED(7001),
    /** The process was told to stop. */
    STOPPING(7002),
    /** The process ends. */
    STOPPED(7003),
    /** The settings were read again. */
    RELOADED(7004),
    /** The host became ready or stopped being so. */
    READY(7005),
    /** A dependency was lost. */
    LOST(7010),
    /** A dependency is back. */
    REGAINED(7011),
    /** A version of the routing is in force. */
    ROUTING(7020),
    /** A version or an entry could not be used. */
    UNUSABLE(7021),
    /** A target's entry changed. */
    TARGET(7022),
    /** An attempt got a target. */
    ASSIGNED(7030),
    /** An attempt got no target. */
    UNASSIGNED(7031),
    /** An assignment was not used, as the host's own view forbids it. */
    OVERRULED(7032),
    /** An attempt failed, with what follows. */
    ATTEMPT_FAILED(7033),
    /** Memory of a target could not be set aside, renewed or given back. */
    RESERVATION_FAILED(7034),
    /** A silent target was kept, as there was no other. */
    KEPT(7035),
    /** A request was answered by a target. */
    ANSWERED(7040),
    /** A request was answered by the host itself. */
    REFUSED(7041),
    /** A stream was broken off. */
    BROKEN(7042),
    /** The caller left. */
    LEFT(7043),
    /** The link to a peer changed. */
    PEER(7050),
    /** The host that assigns changed. */
    ASSIGNER(7051),
    /** The host that tells of a table of the store told a change, or is passed over for a while. */
    WATCHER(7052),
    /** The event loop ran late, or bytes wait on links to other hosts. */
    BUSY(7060),
    /** Lines were dropped because the log was full. */
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
