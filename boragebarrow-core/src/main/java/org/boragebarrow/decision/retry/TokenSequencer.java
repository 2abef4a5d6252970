package org.boragebarrow.decision.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * Delivers each token of an answer exactly once and in order, across all attempts at the request.
 *
 * <p>Not thread-safe. An answer is complete only after an end event whose count matches the tokens delivered.
 */
public final class TokenSequencer {
    private final int maxTokens;
    private final StringBuilder delivered = new StringBuilder();
    private int nextIndex;
    private boolean complete;

    /** Creates a sequencer for an answer of at most {@code maxTokens} tokens. */
    public TokenSequencer(int maxTokens) {
        checkArgument(maxTokens > 0, "tokens must be positive: %s", maxTokens);
        this.maxTokens = maxTokens;
    }

    /** Handles a token event and returns the action for the token. */
    public Action onToken(int index, String text) {
        checkNotNull(text);
        if (index >= 0 && index < nextIndex) {
            return Action.DROP;
        }
        if (index != nextIndex || complete || nextIndex == maxTokens) {
            return Action.FAIL;
        }
        nextIndex++;
        delivered.append(text);
        return Action.DELIVER;
    }

    /** Handles the end event; returns whether the answer is complete. If it is not, the attempt has failed. */
    public boolean onEnd(int count) {
        checkState(
                !complete || count == nextIndex,
                "second end event: answer has %s tokens, event says %s",
                nextIndex,
                count);
        complete = count == nextIndex;
        return complete;
    }

    /** Returns the index of the next token to deliver. */
    public int nextIndex() {
        return nextIndex;
    }

    /** Returns the text of all tokens delivered so far, from which another engine can continue the answer. */
    public String delivered() {
        return delivered.toString();
    }

    /** Returns whether an end event with the right count has arrived. */
    public boolean isComplete() {
        return complete;
    }

    /** The action for a token event. */
    public enum Action {
        /** The token is the next one: forward it. */
        DELIVER,
        /** The token was delivered before: ignore it. */
        DROP,
        /** A token is missing, or the token is out of range: treat the attempt as failed. */
        FAIL
    }
}
