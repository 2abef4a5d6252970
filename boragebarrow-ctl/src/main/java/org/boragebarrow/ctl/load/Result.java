package org.boragebarrow.ctl.load;

import java.util.OptionalLong;

import org.boragebarrow.ctl.caller.AnswerEnd;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What became of a request; all times are since the start of the run.
 *
 * @param text the text of all tokens that came
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
