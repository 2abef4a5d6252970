package org.boragebarrow.ctl.caller;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * How a response ended.
 *
 * <p>The command {@code send} prints the records with {@link Object#toString}, so their names and components are part of
 * its output.
 */
public sealed interface AnswerEnd {
    /** The end event was received, and as many tokens as the usage reports. */
    record Complete(int tokens, int promptTokens) implements AnswerEnd {}

    /**
     * The request was refused before its response began.
     *
     * @param ran whether the request ran, as the error response reports it; empty if it doesn't
     */
    record Refused(int status, String kind, String ran, String message) implements AnswerEnd {
        public Refused {
            checkNotNull(kind);
            checkNotNull(ran);
            checkNotNull(message);
        }
    }

    /** An error event ended the response after it had begun. */
    record Failed(String kind, String message) implements AnswerEnd {
        public Failed {
            checkNotNull(kind);
            checkNotNull(message);
        }
    }

    /**
     * The response was cut off or malformed.
     *
     * @param sent whether any byte of the request may have been sent
     */
    record Cut(boolean sent, String message) implements AnswerEnd {
        public Cut {
            checkNotNull(message);
        }
    }
}
