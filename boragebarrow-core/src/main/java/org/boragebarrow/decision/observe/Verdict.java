package org.boragebarrow.decision.observe;

/**
 * What an observer found out about a target.
 *
 * @param reachable whether the target answers
 * @param accepting whether the target takes new work by its own word
 */
public record Verdict(boolean reachable, boolean accepting) {
    static final Verdict GOOD = new Verdict(true, true);
}
