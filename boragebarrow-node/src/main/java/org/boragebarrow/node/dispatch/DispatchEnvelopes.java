package org.boragebarrow.node.dispatch;

import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.GrantMessages;

/** Encodes the events that a front sends to a dispatcher as messages. */
final class DispatchEnvelopes {
    private DispatchEnvelopes() {}

    static Envelope of(DispatchEvent event, long nowNanos) {
        return switch (event) {
            case DispatchEvent.Submitted submitted -> GrantMessages.submit(submitted.request(), nowNanos);
            case DispatchEvent.Withdrawn withdrawn -> GrantMessages.withdraw(withdrawn.attempt());
            case DispatchEvent.Renewed renewed -> GrantMessages.renew(renewed.grants(), nowNanos);
            case DispatchEvent.Finished finished ->
                GrantMessages.finish(
                        finished.attempt(), finished.target(), finished.answerTokens(), finished.outcome());
            default -> throw new IllegalArgumentException("event has no peer message: " + event);
        };
    }
}
