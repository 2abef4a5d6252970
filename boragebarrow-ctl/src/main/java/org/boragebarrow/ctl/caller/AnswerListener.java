package org.boragebarrow.ctl.caller;

/** Receives a streamed response as it arrives; called on one event loop. */
public interface AnswerListener {
    /** Receives the text of the next token. */
    void onToken(String text);

    /** Receives the end of the response; called once. */
    void onEnd(AnswerEnd end);
}
