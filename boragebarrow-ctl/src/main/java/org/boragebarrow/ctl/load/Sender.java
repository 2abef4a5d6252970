package org.boragebarrow.ctl.load;

import org.boragebarrow.ctl.caller.AnswerListener;

/** Sends requests without blocking. */
interface Sender {
    /** Sends a request and returns an action that cancels it. */
    Runnable send(Arrival arrival, AnswerListener listener);
}
