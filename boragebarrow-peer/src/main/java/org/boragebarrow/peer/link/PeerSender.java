package org.boragebarrow.peer.link;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.peer.proto.Envelope;

/** Sends messages to peers. Thread-safe. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message without waiting.
     *
     * @return whether the message was taken; a taken message may still be lost with its link
     */
    boolean send(Endpoint peer, Envelope message);
}
