package org.boragebarrow.http.client;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Tells the answer of one call from answers of other calls on the same connection.
 *
 * @param header the header in which the server echoes the call's id
 * @param id the call's id; an answer with another one is skipped, an answer without any is taken
 */
public record AnswerCheck(String header, String id) {
    public AnswerCheck {
        checkNotNull(header);
        checkNotNull(id);
    }
}
