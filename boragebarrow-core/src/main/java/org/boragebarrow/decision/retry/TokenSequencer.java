package org.boragebarrow.decision.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * Delivers each token of an answer exactly once and in order, over all attempts at the request.
 *
 * <p>Not thread-safe. An answer is complete only after an end event whose count matches the tokens delivered.
 */
public final class TokenSequencer {
    private final int maxTokens;
    private final StringBuilder delivered = new StringBuilder();
    private int next;
    private boolean complete;

    /** Creates a sequencer for an answer of at most {@code maxTokens} tokens. */
    public TokenSequencer(int maxTokens) {
        checkArgument(maxTokens > 0, "tokens must be positive: %s", maxTokens);
        this.maxTokens = maxTokens;
    }

    /** Takes one token event and tells what to do with it. */
    public Verdict onToken(int index, String text) {
        checkNotNull(text);
        if (index >= 0 && index < next) {
            return Verdict.DROP;
        }
        if (index != next || complete || next == maxTokens) {
            return Verdict.FAIL;
        }
        next++;
        delivered.append(text);
        return Verdict.DELIVER;
    }

    /** Takes the end event; returns whether the answer is complete, else the attempt has failed. */
    public boolean onEnd(int count) {
        checkState(!complete || count == next, "an answer of %s tokens ended again with %s", next, count);
        complete = count == next;
        return complete;
    }

    /** Returns the index of the first token that the caller lacks. */
    public int next() {
        return next;
    }

    /** Returns the text of all tokens so far, with which another engine continues the answer. */
    public String delivered() {
        return delivered.toString();
    }

    /** Returns whether the end event came with the right count. */
    public boolean isComplete() {
        return complete;
    }

    /** What to do with a token event. */
    public enum Verdict {
        /** The token is the next one: pass it on. */
        DELIVER,
        /** The caller has the token already: ignore it. */
        DROP,
        /** A token is missing or does not belong here: treat the attempt as failed. */
        FAIL
    }
}
