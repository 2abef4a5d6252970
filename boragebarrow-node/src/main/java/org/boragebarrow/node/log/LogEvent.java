package org.boragebarrow.node.log;

import java.lang.System.Logger.Level;

/** The events that a host logs, each with its number, level and message. Numbers are never reused. */
public enum LogEvent {
    /** The host has started and accepts connections. */
    HOST_STARTED(1001, Level.INFO, "host {0} serves callers on {1}, operators on {2}, peers on {3}"),
    /** The host received the request to stop and is draining. */
    HOST_DRAINING(1002, Level.INFO, "host is draining, {0} requests in progress"),
    /** The host has stopped. */
    HOST_STOPPED(1003, Level.INFO, "host stopped with {0} requests still in progress"),
    /** A duty's thread failed to handle an event. */
    DUTY_FAILED(1004, Level.ERROR, "duty {0} failed to handle an event: {1}"),
    /** The host became ready, or is no longer ready. */
    READINESS_CHANGED(1005, Level.INFO, "ready: {0}"),
    /** A peer connection was closed because of a protocol violation. */
    PEER_REJECTED(2001, Level.WARNING, "peer connection rejected: {0}"),
    /** The connection to a peer failed or could not be opened. */
    PEER_LINK_DOWN(2002, Level.DEBUG, "link to {0} is down"),
    /** The zone's members changed. */
    MEMBERS_CHANGED(2003, Level.INFO, "members of the zone: {0}"),
    /** Another availability zone became responsive or unresponsive. */
    ZONE_HEARD_CHANGED(2004, Level.WARNING, "availability zone {0} responsive: {1}"),
    /** This host's view of which host is the zone's dispatcher changed. */
    DISPATCHER_CHANGED(2005, Level.INFO, "dispatcher of the zone: {0}"),
    /** A configuration change is in effect. */
    CHANGE_APPLIED(3001, Level.INFO, "change {0} is in effect"),
    /** The change log could not be read. */
    CHANGE_LOG_UNREACHABLE(3002, Level.WARNING, "change log unreachable: {0}"),
    /** An operator's change was accepted. */
    CHANGE_ACCEPTED(3003, Level.INFO, "change {0} accepted: {1}"),
    /** The host list could not be read. */
    HOST_LIST_UNREACHABLE(3004, Level.WARNING, "host list unreachable, using the last one that was read: {0}"),
    /** The dispatcher did not respond within the grant timeout. */
    DISPATCHER_SILENT(4001, Level.WARNING, "dispatcher {0} did not answer for attempt {1}; choosing a target locally"),
    /** A target failed an attempt. */
    TARGET_FAILED(4002, Level.WARNING, "target {0} failed attempt {1}: {2}"),
    /** A request was refused or failed. */
    REQUEST_FAILED(4003, Level.DEBUG, "request {0} failed with {1}: {2}"),
    /** A message that was late or for another attempt was dropped. */
    STRAY_MESSAGE(4004, Level.DEBUG, "stray message for attempt {0} dropped"),
    /** A sequence, reservation or export without a live owner, or past its time limit, was cancelled at an engine. */
    ORPHAN_CANCELLED(4005, Level.INFO, "cancelled orphaned {0} at target {1}"),
    /** The status that a target's observers report changed. */
    TARGET_CHANGED(4006, Level.WARNING, "target {0} reachable: {1}, accepting new work: {2}"),
    /** The table service did not report whether the write of a claim was committed. */
    CLAIM_IN_DOUBT(5001, Level.WARNING, "claim {0} is in doubt; reading it back"),
    /** The planner's lease was gained or lost. */
    LEASE_CHANGED(6001, Level.INFO, "planner lease held: {0}, fencing number {1}"),
    /** An order was sent to an engine. */
    ORDER_SENT(6002, Level.INFO, "order {0} sent to {1} with fencing number {2}"),
    /** The weight store could not be read. */
    WEIGHT_STORE_UNREACHABLE(6003, Level.WARNING, "weight store unreachable, model loads are suspended: {0}"),
    /** An engine refused an order because it has seen a higher fencing number. */
    ORDER_REFUSED(6004, Level.WARNING, "order {0} refused by {1}: fencing number {2} is stale"),
    /** The call that sent an order failed, so the order's outcome is unknown. */
    ORDER_FAILED(6005, Level.WARNING, "order {0} to {1} failed, its outcome is unknown: {2}");

    private final int number;
    private final Level level;
    private final String message;

    LogEvent(int number, Level level, String message) {
        this.number = number;
        this.level = level;
        this.message = message;
    }

    /** Returns the number, which is logged as {@code BB} and the number. */
    public int number() {
        return number;
    }

    /** Returns the level at which the event is logged. */
    public Level level() {
        return level;
    }

    /** Returns the message as a pattern of {@link java.text.MessageFormat}. */
    public String message() {
        return message;
    }
}
