package org.boragebarrow.ctl.caller;

/** Receives an answer as it comes; called on one event loop. */
public interface AnswerListener {
    /** Receives the text of the next token. */
    void onToken(String text);

    /** Receives the end, once. */
    void onEnd(AnswerEnd end);
}
