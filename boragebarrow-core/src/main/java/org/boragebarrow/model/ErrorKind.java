package org.boragebarrow.model;

/**
 * The closed list of the ways a request can be refused or fail, with the answer that each gives.
 *
 * <p>{@link #ran} is the strongest statement that the kind allows by itself; an answer may weaken it to {@link
 * Ran#UNKNOWN} (a keyed request that was refused before its claim was read), never strengthen it. docs/ERRORS.md lists
 * the same table.
 */
public enum ErrorKind {
    /** The request is malformed. */
    BAD_REQUEST(400, Ran.NO, false),
    /** No known key came with the request. */
    UNAUTHENTICATED(401, Ran.NO, false),
    /** The organisation's plan does not allow the model, service or operation. */
    NOT_ALLOWED(403, Ran.NO, false),
    /** The organisation's rate or concurrency is used up. */
    ALLOWANCE_SPENT(429, Ran.NO, true),
    /** The prompt is longer than the plan or every engine allows. */
    PROMPT_TOO_LONG(413, Ran.NO, false),
    /** The header or body is larger than the host accepts. */
    REQUEST_TOO_LARGE(413, Ran.NO, false),
    /** No engine serves the model. */
    UNKNOWN_MODEL(404, Ran.NO, false),
    /** No target offers the service. */
    UNKNOWN_SERVICE(404, Ran.NO, false),
    /** The path or entry does not exist. */
    NOT_FOUND(404, Ran.NO, false),
    /** A bounded queue is full. */
    OVERLOADED(503, Ran.NO, true),
    /** The predicted finish lies beyond the time limit. */
    DEADLINE_UNREACHABLE(503, Ran.NO, true),
    /** No target takes new work at the moment. */
    NO_TARGET(503, Ran.NO, true),
    /** The table service is needed and does not answer. */
    STORE_UNAVAILABLE(503, Ran.UNKNOWN, true),
    /** The host has read no configuration yet. */
    NOT_READY(503, Ran.NO, true),
    /** The host is draining. */
    SHUTTING_DOWN(503, Ran.NO, true),
    /** The time limit passed while the request was queued. */
    TIMED_OUT_NOT_RUN(504, Ran.NO, true),
    /** The time limit passed after the request was sent to a target. */
    TIMED_OUT(504, Ran.UNKNOWN, false),
    /** The target broke off a repeatable request and no attempt is left. */
    TARGET_FAILED(502, Ran.UNKNOWN, false),
    /** A request that may not be repeated was sent and its answer is lost. */
    OUTCOME_UNKNOWN(502, Ran.UNKNOWN, false),
    /** Another attempt with the same idempotency key is in progress. */
    DUPLICATE_IN_PROGRESS(409, Ran.UNKNOWN, true),
    /** The idempotency key was used before with another body. */
    KEY_REUSED(422, Ran.UNKNOWN, false),
    /** The entry changed since it was read. */
    VERSION_CONFLICT(412, Ran.NO, false),
    /** The host met a fault of its own. */
    INTERNAL(500, Ran.UNKNOWN, false);

    private final int status;
    private final Ran ran;
    private final boolean retryable;

    ErrorKind(int status, Ran ran, boolean retryable) {
        this.status = status;
        this.ran = ran;
        this.retryable = retryable;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns the strongest statement about execution that this kind allows. */
    public Ran ran() {
        return ran;
    }

    /** Returns whether the caller may send the same request again unchanged. */
    public boolean retryable() {
        return retryable;
    }
}
