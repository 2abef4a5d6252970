package org.boragebarrow.peer.link;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.peer.proto.Envelope;

/** Sends messages to peers. Thread-safe. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message without blocking.
     *
     * @return whether the message was accepted; an accepted message may still be lost if its link fails
     */
    boolean send(Endpoint peer, Envelope message);
}
