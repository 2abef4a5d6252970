package org.boragebarrow.decision.member;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.member.MemberMessage.Alive;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;

/** Copies messages as decoding does, so that simulated hosts share no memory. */
final class MessageCopies {
    private MessageCopies() {}

    static MemberMessage copy(MemberMessage message) {
        return switch (message) {
            case Heartbeat heartbeat ->
                new Heartbeat(copy(heartbeat.member()), heartbeat.applied(), heartbeat.answerWanted());
            case Alive alive -> new Alive(copy(alive.member()));
            case ZoneDigest digest ->
                new ZoneDigest(
                        copy(digest.zone()),
                        copy(digest.origin()),
                        digest.sequence(),
                        digest.lowestApplied(),
                        digest.highestKnown(),
                        digest.memberCount(),
                        digest.members().stream().map(MessageCopies::copy).collect(ImmutableList.toImmutableList()),
                        digest.ended(),
                        digest.summary()
                                .map(summary -> new Summary(
                                        copy(summary.origin()),
                                        summary.sequence(),
                                        Payload.copyOf(summary.payload().toByteArray()))),
                        digest.relayed());
            default -> message;
        };
    }

    private static Member copy(Member member) {
        Endpoint endpoint = member.endpoint();
        return new Member(
                copy(member.incarnation()),
                member.refutations(),
                copy(member.zone()),
                Endpoint.of(new String(endpoint.address()), endpoint.port()),
                member.leaving());
    }

    private static HostIncarnation copy(HostIncarnation incarnation) {
        return HostIncarnation.of(HostId.of(new String(incarnation.host().value())), incarnation.number());
    }

    private static AvailabilityZoneId copy(AvailabilityZoneId zone) {
        return AvailabilityZoneId.of(new String(zone.value()));
    }
}
