package org.boragebarrow.decision.observe;

/**
 * The status of a target.
 *
 * @param reachable whether the target answers polls
 * @param accepting whether the target reports that it accepts new work
 */
public record TargetStatus(boolean reachable, boolean accepting) {
    static final TargetStatus AVAILABLE = new TargetStatus(true, true);
}
