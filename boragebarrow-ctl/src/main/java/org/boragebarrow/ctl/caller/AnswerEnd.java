package org.boragebarrow.ctl.caller;

import static com.google.common.base.Preconditions.checkNotNull;

/** How an answer ended. */
public sealed interface AnswerEnd {
    /** The end event came, and so did as many tokens as it counts. */
    record Complete(int tokens, int promptTokens) implements AnswerEnd {}

    /**
     * The request was refused before its answer began.
     *
     * @param ran whether the request ran, as the refusal says
     */
    record Refused(int status, String kind, String ran, String message) implements AnswerEnd {
        public Refused {
            checkNotNull(kind);
            checkNotNull(ran);
            checkNotNull(message);
        }
    }

    /** An error event ended the answer after it had begun. */
    record Failed(String kind, String message) implements AnswerEnd {
        public Failed {
            checkNotNull(kind);
            checkNotNull(message);
        }
    }

    /**
     * The answer broke off or was malformed.
     *
     * @param sent whether any byte of the request may have left
     */
    record Cut(boolean sent, String message) implements AnswerEnd {
        public Cut {
            checkNotNull(message);
        }
    }
}
