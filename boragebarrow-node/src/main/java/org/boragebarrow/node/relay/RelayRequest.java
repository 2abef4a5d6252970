package org.boragebarrow.node.relay;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.model.PromptParts;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A complete request of a caller.
 *
 * @param requestTarget the path and query, as received
 * @param host the host name that the caller addressed, without a port
 * @param id the caller's request id; an empty string if it sent none
 * @param timeLimit how long the caller waits
 * @param key the key that authenticates the caller's organisation
 * @param promptSize the sizes of the prompt as stated by the caller
 * @param promptParts the parts of the prompt as stated by the caller
 * @param resumeAfter the id of the last event of an earlier response that the caller has received
 * @param headers the headers to forward to the target, names in lower case
 */
public record RelayRequest(
        String method,
        String requestTarget,
        String host,
        String id,
        Optional<Duration> timeLimit,
        Optional<String> key,
        Optional<PromptSize> promptSize,
        PromptParts promptParts,
        OptionalLong resumeAfter,
        ImmutableListMultimap<String, String> headers,
        ImmutableList<ByteBuffer> body) {
    public RelayRequest {
        checkNotNull(method);
        checkNotNull(requestTarget);
        checkNotNull(host);
        checkNotNull(id);
        checkNotNull(promptParts);
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = requestTarget.indexOf('?');
        return query < 0 ? requestTarget : requestTarget.substring(0, query);
    }
}
