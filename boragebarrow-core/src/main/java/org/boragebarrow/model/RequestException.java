package org.boragebarrow.model;

import java.time.Duration;
import java.util.Optional;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown when a request is refused or fails. Its {@link ErrorKind} determines the response to the caller. */
public final class RequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final ExecutionStatus executionStatus;
    private final transient Duration retryAfter;

    private RequestException(ErrorKind kind, ExecutionStatus executionStatus, String message, Duration retryAfter) {
        super(message, null, false, false);
        this.kind = kind;
        this.executionStatus = executionStatus;
        this.retryAfter = retryAfter;
    }

    /** Returns an exception of the given kind. */
    public static RequestException of(ErrorKind kind, String message) {
        return new RequestException(checkNotNull(kind), kind.executionStatus(), checkNotNull(message), Duration.ZERO);
    }

    /** Returns an exception of the given kind after which the caller should wait for the delay before it retries. */
    public static RequestException of(ErrorKind kind, String message, Duration retryAfter) {
        checkArgument(!retryAfter.isNegative(), "negative retry delay: %s", retryAfter);
        return new RequestException(checkNotNull(kind), kind.executionStatus(), checkNotNull(message), retryAfter);
    }

    /** Returns a copy with the given status, which must be the kind's own or {@link ExecutionStatus#UNKNOWN}. */
    public RequestException withExecutionStatus(ExecutionStatus newStatus) {
        checkArgument(
                newStatus == ExecutionStatus.UNKNOWN || newStatus == kind.executionStatus(),
                "error kind %s does not allow the execution status %s",
                kind,
                newStatus);
        return new RequestException(kind, newStatus, getMessage(), retryAfter);
    }

    /** Returns a copy with the execution status {@link ExecutionStatus#UNKNOWN}. */
    public RequestException withUnknownExecutionStatus() {
        return withExecutionStatus(ExecutionStatus.UNKNOWN);
    }

    /** Returns the kind of the failure. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns whether the request was executed, as far as that is known. */
    public ExecutionStatus executionStatus() {
        return executionStatus;
    }

    /** Returns how long the caller should wait before it retries the request, or empty if that is unknown. */
    public Optional<Duration> retryAfter() {
        return retryAfter.isZero() ? Optional.empty() : Optional.of(retryAfter);
    }
}
