package org.boragebarrow.node.relay;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.decision.assign.PromptSize;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A complete request of a caller.
 *
 * @param target the path and query, as received
 * @param host the host name that the caller addressed, without a port
 * @param id the caller's request id; an empty string if it sent none
 * @param limit how long the caller waits
 * @param key the key that authenticates the caller's organisation
 * @param size the sizes of the prompt as stated by the caller
 * @param resumeAfter the id of the last event of an earlier response that the caller has received
 * @param headers the headers to forward to the target, names in lower case
 */
public record RelayRequest(
        String method,
        String target,
        String host,
        String id,
        Optional<Duration> limit,
        Optional<String> key,
        Optional<PromptSize> size,
        OptionalLong resumeAfter,
        ImmutableListMultimap<String, String> headers,
        ImmutableList<ByteBuffer> body) {
    public RelayRequest {
        checkNotNull(method);
        checkNotNull(target);
        checkNotNull(host);
        checkNotNull(id);
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
