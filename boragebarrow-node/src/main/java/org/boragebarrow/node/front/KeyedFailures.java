package org.boragebarrow.node.front;

import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.RequestException;

/** Failures of calls with an idempotency key. */
final class KeyedFailures {
    private KeyedFailures() {}

    /** Returns the failure of a call that ran, but whose stored response cannot be read. */
    static RequestException answerUnreadable() {
        return RequestException.of(
                ErrorKind.STORE_UNAVAILABLE, "the call ran, but its response could not be read from the object store");
    }

    /** Returns the failure of a call whose caller disconnected before it was dispatched. */
    static RequestException callerDisconnected() {
        return RequestException.of(ErrorKind.TIMED_OUT_NOT_RUN, "the caller disconnected");
    }
}
