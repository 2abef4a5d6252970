package org.boragebarrow.standins.engine;

/** An engine's answer to a submission. */
sealed interface Admission {
    /** The sequence runs or waits for its turn. */
    record Accepted() implements Admission {}

    /** The engine does not take the sequence. */
    record Refused(Reason reason) implements Admission {}

    /** Why an engine refuses a sequence. */
    enum Reason {
        /** The engine is leaving or was told to refuse. */
        NOT_ACCEPTING,
        /** The engine does not know the attempt to resume. */
        UNKNOWN_ATTEMPT,
        /** The attempt is known already. */
        DUPLICATE_ATTEMPT,
        /** The model is not loaded. */
        UNKNOWN_MODEL,
        /** The sequence is larger than the engine's memory. */
        TOO_LARGE,
        /** No reservation was made for the attempt. */
        NO_RESERVATION,
        /** All waiting places are taken. */
        FULL
    }
}
