package org.boragebarrow.peer.link;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.peer.proto.Envelope;

/** Receives messages and events of the links. Methods are called on I/O threads and must not block. */
public interface PeerListener {
    /** Handles a message from an authenticated peer. */
    void onMessage(HostIncarnation sender, Envelope message);

    /** Called when the outgoing link to the peer is open and authenticated. */
    default void onLinkUp(Endpoint peer) {}

    /** Called when the outgoing link to the peer could not be opened or was closed. */
    default void onLinkDown(Endpoint peer) {}

    /** Called when a connection is closed because of a protocol violation, failed authentication or an I/O error. */
    default void onRejected(String reason) {}
}
