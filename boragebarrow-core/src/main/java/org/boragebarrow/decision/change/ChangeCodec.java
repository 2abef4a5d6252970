package org.boragebarrow.decision.change;

/** Writes changes as text and reads them back; encoding is deterministic. */
public interface ChangeCodec {
    /** Returns the text form of a change. */
    String encode(Change change);

    /**
     * Reads a change.
     *
     * @throws IllegalArgumentException if the text is not a change; the message names the faulty field
     */
    Change decode(String text);

    /** Returns the text form of a state. */
    String encodeState(ChangeState state);

    /**
     * Reads a state.
     *
     * @throws IllegalArgumentException if the text is not a state; the message names the faulty field
     */
    ChangeState decodeState(String text);
}
