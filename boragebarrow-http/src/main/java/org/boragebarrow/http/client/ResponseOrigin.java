package org.boragebarrow.http.client;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The connection on which a response arrived, and what preceded it there.
 *
 * @param connection the number of the connection, unique within its client
 * @param uses the number of calls sent on the connection, including this one
 * @param age the time since the connection was established
 * @param idleBytes the number of bytes received on the connection while no call was in progress
 * @param skippedResponses the number of responses to other calls that were skipped during this call
 * @param reasonPhrase the reason phrase as received, which may be empty
 */
public record ResponseOrigin(
        long connection, int uses, Duration age, long idleBytes, int skippedResponses, String reasonPhrase) {
    public ResponseOrigin {
        checkNotNull(age);
        checkNotNull(reasonPhrase);
    }
}
