package org.boragebarrow.model;

/**
 * All kinds of request failure, with the HTTP status and retry advice of each.
 *
 * <p>{@link #executionStatus} is the most definite execution status that the kind guarantees. A response may weaken it
 * to {@link ExecutionStatus#UNKNOWN}, as for a request with an idempotency key that was refused before its claim was
 * read, but never strengthen it. docs/ERRORS.md documents the same list.
 */
public enum ErrorKind {
    /** The request is malformed. */
    BAD_REQUEST(400, ExecutionStatus.NO, false),
    /** The request was not received completely in time. */
    RECEIVE_TIMED_OUT(408, ExecutionStatus.NO, true),
    /** The request has no API key, or an unknown one. */
    UNAUTHENTICATED(401, ExecutionStatus.NO, false),
    /** The organisation's plan does not allow the model, service or operation. */
    NOT_ALLOWED(403, ExecutionStatus.NO, false),
    /** The organisation has reached its token rate or its concurrency limit. */
    ALLOWANCE_SPENT(429, ExecutionStatus.NO, true),
    /** The prompt has a part that crashes engines; the same request must not be sent again. */
    PROMPT_QUARANTINED(400, ExecutionStatus.NO, false),
    /** The prompt is longer than the plan allows, or longer than any engine accepts. */
    PROMPT_TOO_LONG(413, ExecutionStatus.NO, false),
    /** The request's header or body is larger than the host accepts. */
    REQUEST_TOO_LARGE(413, ExecutionStatus.NO, false),
    /** No engine serves the requested model. */
    UNKNOWN_MODEL(404, ExecutionStatus.NO, false),
    /** No target offers the requested service. */
    UNKNOWN_SERVICE(404, ExecutionStatus.NO, false),
    /** The path or entry does not exist. */
    NOT_FOUND(404, ExecutionStatus.NO, false),
    /** A bounded queue is full. */
    OVERLOADED(503, ExecutionStatus.NO, true),
    /** The predicted completion time is later than the time limit. */
    DEADLINE_UNREACHABLE(503, ExecutionStatus.NO, true),
    /** No target currently accepts new requests. */
    NO_TARGET(503, ExecutionStatus.NO, true),
    /** The request needs the table service, which does not respond. */
    STORE_UNAVAILABLE(503, ExecutionStatus.UNKNOWN, true),
    /** The host has not read a configuration yet. */
    NOT_READY(503, ExecutionStatus.NO, true),
    /** The host is draining. */
    SHUTTING_DOWN(503, ExecutionStatus.NO, true),
    /** The time limit expired while the request was queued. */
    TIMED_OUT_NOT_RUN(504, ExecutionStatus.NO, true),
    /** The time limit expired after the request was sent to a target. */
    TIMED_OUT(504, ExecutionStatus.UNKNOWN, false),
    /** The target failed while it ran a repeatable request, and no retry is left. */
    TARGET_FAILED(502, ExecutionStatus.UNKNOWN, false),
    /** A request that must not be repeated was sent to a target, and its response was lost. */
    OUTCOME_UNKNOWN(502, ExecutionStatus.UNKNOWN, false),
    /** Another attempt with the same idempotency key is in progress. */
    DUPLICATE_IN_PROGRESS(409, ExecutionStatus.UNKNOWN, true),
    /** The idempotency key was used before with a different body. */
    KEY_REUSED(422, ExecutionStatus.UNKNOWN, false),
    /** The entry has changed since it was read. */
    VERSION_CONFLICT(412, ExecutionStatus.NO, false),
    /** An internal error occurred in the host. */
    INTERNAL(500, ExecutionStatus.UNKNOWN, false);

    private final int status;
    private final ExecutionStatus executionStatus;
    private final boolean retryable;

    ErrorKind(int status, ExecutionStatus executionStatus, boolean retryable) {
        this.status = status;
        this.executionStatus = executionStatus;
        this.retryable = retryable;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns the most definite execution status that this kind guarantees. */
    public ExecutionStatus executionStatus() {
        return executionStatus;
    }

    /** Returns whether the caller may retry the same request unchanged. */
    public boolean retryable() {
        return retryable;
    }
}
