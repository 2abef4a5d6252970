package org.boragebarrow.ctl.load;

import org.boragebarrow.ctl.caller.AnswerListener;

/** Sends requests and never blocks. */
interface Sender {
    /** Sends one request and returns how to give it up. */
    Runnable send(Arrival arrival, AnswerListener listener);
}
