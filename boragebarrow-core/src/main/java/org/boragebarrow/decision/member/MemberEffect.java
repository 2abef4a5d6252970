package org.boragebarrow.decision.member;

import java.util.Optional;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;

/** The effects of a {@link Membership}. */
public sealed interface MemberEffect {
    /**
     * Sends a message; it may be lost.
     *
     * @param host the host that is expected at the endpoint; empty if only the address is known
     */
    record Send(Optional<HostId> host, Endpoint endpoint, MemberMessage message) implements MemberEffect {}

    /** The hosts of this zone or the ended incarnations changed. */
    record MembersChanged(MemberView view) implements MemberEffect {}

    /** The view of the other zones changed. */
    record ZonesChanged(ZonesView view) implements MemberEffect {}

    /**
     * Other hosts ended this host's incarnation, as it was paused or partitioned; it continues with a higher one.
     *
     * <p>Sequences of the ended incarnation may be cancelled at the targets: work in progress has to be submitted again
     * under the new incarnation, or failed.
     */
    record IncarnationReplaced(HostIncarnation ended, HostIncarnation next) implements MemberEffect {}
}
