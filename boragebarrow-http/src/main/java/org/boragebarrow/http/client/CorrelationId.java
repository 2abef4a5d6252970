package org.boragebarrow.http.client;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Matches a response to its call, where responses to other calls may arrive on the same connection.
 *
 * @param header the header in which the server echoes the call's id
 * @param value the call's id; a response with another id is skipped, a response without an id is accepted
 */
public record CorrelationId(String header, String value) {
    public CorrelationId {
        checkNotNull(header);
        checkNotNull(value);
    }
}
