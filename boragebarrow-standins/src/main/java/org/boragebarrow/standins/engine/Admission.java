package org.boragebarrow.standins.engine;

/** The result of submitting a sequence to an engine. */
sealed interface Admission {
    /** The sequence is running or waiting for a place in the batch. */
    record Accepted() implements Admission {}

    /** The engine refuses the sequence. */
    record Refused(Reason reason) implements Admission {}

    /** Why an engine refuses a sequence. */
    enum Reason {
        /** The engine is leaving, or the fault that refuses submissions is active. */
        NOT_ACCEPTING,
        /** The engine has no sequence of the attempt that can be resumed at the index. */
        UNKNOWN_ATTEMPT,
        /** The attempt already has an active sequence. */
        DUPLICATE_ATTEMPT,
        /** The model is not loaded. */
        UNKNOWN_MODEL,
        /** The sequence is larger than the engine's memory. */
        TOO_LARGE,
        /** No reservation was made for the attempt. */
        NO_RESERVATION,
        /** The waiting queue is full. */
        FULL
    }
}
