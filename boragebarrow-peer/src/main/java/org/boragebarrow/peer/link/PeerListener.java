package org.boragebarrow.peer.link;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.peer.proto.Envelope;

/** Receives what happens on the links; called on I/O threads and must not block. */
public interface PeerListener {
    /** Receives a message from an authenticated peer. */
    void onMessage(HostLife from, Envelope message);

    /** Receives that messages to the peer can be sent now. */
    default void onLinkUp(Endpoint peer) {}

    /** Receives that the link to the peer could not be opened or broke. */
    default void onLinkDown(Endpoint peer) {}

    /** Receives that a connection was closed for breaking the protocol or failing to authenticate. */
    default void onRejected(String reason) {}
}
