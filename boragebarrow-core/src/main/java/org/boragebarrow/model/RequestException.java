package org.boragebarrow.model;

import java.time.Duration;
import java.util.Optional;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Reports that a request was refused or failed, with the kind that decides its answer. */
public final class RequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final Ran ran;
    private final transient Duration retryAfter;

    private RequestException(ErrorKind kind, Ran ran, String message, Duration retryAfter) {
        super(message, null, false, false);
        this.kind = kind;
        this.ran = ran;
        this.retryAfter = retryAfter;
    }

    /** Returns a failure of the given kind. */
    public static RequestException of(ErrorKind kind, String message) {
        return new RequestException(checkNotNull(kind), kind.ran(), checkNotNull(message), Duration.ZERO);
    }

    /** Returns a failure of the given kind after which the caller should wait before sending again. */
    public static RequestException of(ErrorKind kind, String message, Duration retryAfter) {
        checkArgument(!retryAfter.isNegative(), "negative retry delay: %s", retryAfter);
        return new RequestException(checkNotNull(kind), kind.ran(), checkNotNull(message), retryAfter);
    }

    /** Returns this failure with another statement about execution, which must not be stronger than the kind's. */
    public RequestException withRan(Ran statement) {
        checkArgument(statement == Ran.UNKNOWN || statement == kind.ran(), "%s cannot say %s", kind, statement);
        return new RequestException(kind, statement, getMessage(), retryAfter);
    }

    /** Returns this failure with the weakest statement about execution. */
    public RequestException withRanUnknown() {
        return withRan(Ran.UNKNOWN);
    }

    /** Returns the kind. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns what is known of whether the request ran. */
    public Ran ran() {
        return ran;
    }

    /** Returns how long the caller should wait before sending the same request again, if that is known. */
    public Optional<Duration> retryAfter() {
        return retryAfter.isZero() ? Optional.empty() : Optional.of(retryAfter);
    }
}
