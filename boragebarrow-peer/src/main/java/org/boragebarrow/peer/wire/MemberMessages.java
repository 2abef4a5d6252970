package org.boragebarrow.peer.wire;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberMessage;
import org.boragebarrow.decision.member.Payload;
import org.boragebarrow.decision.member.Summary;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.peer.proto.Alive;
import org.boragebarrow.peer.proto.Ended;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Heartbeat;
import org.boragebarrow.peer.proto.Life;
import org.boragebarrow.peer.proto.Suspect;
import org.boragebarrow.peer.proto.ZoneDigest;

/** Converts membership messages. Decoding throws {@link IllegalArgumentException} on malformed values. */
public final class MemberMessages {
    private MemberMessages() {}

    /** Encodes a membership message. */
    public static Envelope toEnvelope(MemberMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        switch (message) {
            case MemberMessage.Heartbeat heartbeat ->
                envelope.setHeartbeat(Heartbeat.newBuilder()
                        .setMember(toMember(heartbeat.member()))
                        .setApplied(heartbeat.applied())
                        .setAnswerWanted(heartbeat.answerWanted()));
            case MemberMessage.Suspect suspect ->
                envelope.setSuspect(Suspect.newBuilder()
                        .setSubject(toLife(suspect.subject()))
                        .setRefutations(suspect.refutations()));
            case MemberMessage.Alive alive ->
                envelope.setAlive(Alive.newBuilder().setMember(toMember(alive.member())));
            case MemberMessage.Ended ended ->
                envelope.setEnded(Ended.newBuilder().setSubject(toLife(ended.subject())));
            case MemberMessage.ZoneDigest digest -> envelope.setZoneDigest(toDigest(digest));
        }
        return envelope.build();
    }

    /** Decodes the membership message in an envelope; empty if the envelope contains another kind of message. */
    public static Optional<MemberMessage> fromEnvelope(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case HEARTBEAT -> {
                Heartbeat heartbeat = envelope.getHeartbeat();
                yield Optional.of(new MemberMessage.Heartbeat(
                        fromMember(heartbeat.getMember()), heartbeat.getApplied(), heartbeat.getAnswerWanted()));
            }
            case SUSPECT -> {
                Suspect suspect = envelope.getSuspect();
                yield Optional.of(new MemberMessage.Suspect(fromLife(suspect.getSubject()), suspect.getRefutations()));
            }
            case ALIVE ->
                Optional.of(
                        new MemberMessage.Alive(fromMember(envelope.getAlive().getMember())));
            case ENDED ->
                Optional.of(new MemberMessage.Ended(fromLife(envelope.getEnded().getSubject())));
            case ZONE_DIGEST -> Optional.of(fromDigest(envelope.getZoneDigest()));
            default -> Optional.empty();
        };
    }

    private static Life toLife(HostIncarnation incarnation) {
        return Life.newBuilder()
                .setHost(incarnation.host().value())
                .setIncarnation(incarnation.number().value())
                .build();
    }

    private static HostIncarnation fromLife(Life message) {
        return HostIncarnation.of(HostId.of(message.getHost()), IncarnationNumber.of(message.getIncarnation()));
    }

    private static org.boragebarrow.peer.proto.Member toMember(Member member) {
        return org.boragebarrow.peer.proto.Member.newBuilder()
                .setLife(toLife(member.incarnation()))
                .setRefutations(member.refutations())
                .setZone(member.zone().value())
                .setAddress(member.endpoint().address())
                .setPort(member.endpoint().port())
                .setLeaving(member.leaving())
                .build();
    }

    private static Member fromMember(org.boragebarrow.peer.proto.Member member) {
        return new Member(
                fromLife(member.getLife()),
                member.getRefutations(),
                AvailabilityZoneId.of(member.getZone()),
                Endpoint.of(member.getAddress(), member.getPort()),
                member.getLeaving());
    }

    private static ZoneDigest toDigest(MemberMessage.ZoneDigest digest) {
        ZoneDigest.Builder message = ZoneDigest.newBuilder()
                .setZone(digest.zone().value())
                .setOrigin(toLife(digest.origin()))
                .setSequence(digest.sequence())
                .setLowestApplied(digest.lowestApplied())
                .setHighestKnown(digest.highestKnown())
                .setMemberCount(digest.memberCount())
                .setRelayed(digest.relayed());
        digest.members().forEach(member -> message.addMembers(toMember(member)));
        digest.ended().forEach(incarnation -> message.addEnded(toLife(incarnation)));
        digest.summary().ifPresent(summary -> message.setSummary(toSummary(summary)));
        return message.build();
    }

    private static org.boragebarrow.peer.proto.Summary toSummary(Summary summary) {
        return org.boragebarrow.peer.proto.Summary.newBuilder()
                .setOrigin(toLife(summary.origin()))
                .setSequence(summary.sequence())
                .setPayload(ByteString.copyFrom(summary.payload().toByteArray()))
                .build();
    }

    private static MemberMessage.ZoneDigest fromDigest(ZoneDigest message) {
        return new MemberMessage.ZoneDigest(
                AvailabilityZoneId.of(message.getZone()),
                fromLife(message.getOrigin()),
                message.getSequence(),
                message.getLowestApplied(),
                message.getHighestKnown(),
                message.getMemberCount(),
                members(message.getMembersList()),
                message.getEndedList().stream().map(MemberMessages::fromLife).collect(ImmutableList.toImmutableList()),
                message.hasSummary() ? Optional.of(fromSummary(message.getSummary())) : Optional.empty(),
                message.getRelayed());
    }

    private static ImmutableList<Member> members(List<org.boragebarrow.peer.proto.Member> members) {
        return members.stream().map(MemberMessages::fromMember).collect(ImmutableList.toImmutableList());
    }

    private static Summary fromSummary(org.boragebarrow.peer.proto.Summary summary) {
        return new Summary(
                fromLife(summary.getOrigin()),
                summary.getSequence(),
                Payload.copyOf(summary.getPayload().toByteArray()));
    }
}
