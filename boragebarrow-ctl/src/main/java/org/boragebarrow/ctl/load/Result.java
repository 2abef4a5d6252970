package org.boragebarrow.ctl.load;

import java.util.OptionalLong;

import org.boragebarrow.ctl.caller.AnswerEnd;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The result of a request; all times are in nanoseconds since the start of the run.
 *
 * @param text the text of all tokens that were received
 */
public record Result(
        Arrival arrival, long sentNanos, OptionalLong firstTokenNanos, long endNanos, AnswerEnd end, String text) {
    public Result {
        checkNotNull(arrival);
        checkNotNull(firstTokenNanos);
        checkNotNull(end);
        checkNotNull(text);
    }
}
