package org.boragebarrow.decision.member;

import java.util.Optional;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;

/** What a membership wants done. */
public sealed interface MemberEffect {
    /**
     * Sends a message; it may be lost.
     *
     * @param host the host that is expected at the endpoint; empty if only the address is known
     */
    record Send(Optional<HostId> host, Endpoint endpoint, MemberMessage message) implements MemberEffect {}

    /** The hosts of this zone or the ended lives changed. */
    record MembersChanged(MemberView view) implements MemberEffect {}

    /** What is known of other zones changed. */
    record ZonesChanged(ZonesView view) implements MemberEffect {}

    /**
     * Other hosts ended this host's life, as it was paused or cut off; it goes on with another incarnation.
     *
     * <p>Sequences of the ended life may be cancelled at the targets: work in progress has to be submitted again under the
     * new life, or failed.
     */
    record LifeReplaced(HostLife ended, HostLife next) implements MemberEffect {}
}
