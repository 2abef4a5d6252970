package org.boragebarrow.decision.quarantine;

/** The phase of an attempt in which a part of its prompt is assumed to crash the target. */
enum Phase {
    /** Any time before the answer has begun. */
    ANY,

    /**
     * The time from which the target can have read the whole prompt. Attempts at long prompts spend little of their time in
     * it, so a crash in it is less likely a coincidence.
     */
    ANSWERING
}
