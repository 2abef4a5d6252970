package org.boragebarrow.node.front;

import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.RequestException;

/** The failures that only keyed calls have. */
final class KeyedFailures {
    private KeyedFailures() {}

    /** Returns the failure when the kept answer of a call that ran cannot be read now. */
    static RequestException answerUnreadable() {
        return RequestException.of(
                ErrorKind.STORE_UNAVAILABLE, "the call ran, but its answer cannot be read from the object store now");
    }

    /** Returns the failure of a call whose caller went away before it was dispatched. */
    static RequestException callerGone() {
        return RequestException.of(ErrorKind.TIMED_OUT_NOT_RUN, "the caller went away");
    }
}
