package org.boragebarrow.port;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Reports how a target's connection failed.
 *
 * @param sent whether any byte of the request may have been handed to the connection
 * @param refused whether the target itself answered that it does not take the work
 */
public record TargetFailure(boolean sent, boolean refused, String message) {
    public TargetFailure {
        checkNotNull(message);
    }

    /** Returns the failure of a connection that was never established. */
    public static TargetFailure notSent(String message) {
        return new TargetFailure(false, false, message);
    }

    /** Returns the failure of a connection that may have carried bytes. */
    public static TargetFailure broken(String message) {
        return new TargetFailure(true, false, message);
    }

    /** Returns a refusal by the target. */
    public static TargetFailure refused(String message) {
        return new TargetFailure(true, true, message);
    }
}
