package org.boragebarrow.decision.change;

/** Encodes changes and states as text and decodes them; the encoding is deterministic. */
public interface ChangeCodec {
    /** Encodes a change. */
    String encode(Change change);

    /**
     * Decodes a change.
     *
     * @throws IllegalArgumentException if the text is not a valid change; the message names the invalid field
     */
    Change decode(String text);

    /** Encodes a state. */
    String encodeState(ChangeState state);

    /**
     * Decodes a state.
     *
     * @throws IllegalArgumentException if the text is not a valid state; the message names the invalid field
     */
    ChangeState decodeState(String text);
}
