package org.boragebarrow.decision.member;

import com.google.common.base.Utf8;
import org.boragebarrow.decision.member.MemberMessage.Alive;
import org.boragebarrow.decision.member.MemberMessage.Ended;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.decision.member.MemberMessage.Suspect;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;

/**
 * Estimates the size of a message on the wire, in bytes: protobuf fields with a one-byte tag, varints, length-prefixed
 * text, IPv4 addresses of four bytes, and a frame with a length and the sender's incarnation. TCP and IP headers are
 * not counted.
 */
final class MessageSizes {
    static final int FRAME_BYTES = 4;
    private static final int TAG_BYTES = 1;
    private static final int LENGTH_BYTES = 1;
    private static final int PORT_BYTES = 3;
    private static final int IPV4_BYTES = 4;

    private MessageSizes() {}

    static long sizeOf(Object envelope) {
        SimulatedHost.Envelope sent = (SimulatedHost.Envelope) envelope;
        return FRAME_BYTES + incarnation(sent.from()) + nested(message(sent.message()));
    }

    private static long message(MemberMessage message) {
        return switch (message) {
            case Heartbeat heartbeat ->
                nested(member(heartbeat.member())) + varint(heartbeat.applied()) + TAG_BYTES + 1;
            case Suspect suspect -> incarnation(suspect.subject()) + varint(suspect.refutations());
            case Alive alive -> nested(member(alive.member()));
            case Ended ended -> incarnation(ended.subject());
            case ZoneDigest digest -> digest(digest);
        };
    }

    private static long digest(ZoneDigest digest) {
        long size = text(digest.zone().value()) + incarnation(digest.origin()) + varint(digest.sequence());
        size += varint(digest.lowestApplied()) + varint(digest.highestKnown()) + varint(digest.memberCount()) + 2;
        size += digest.members().stream().mapToLong(m -> nested(member(m))).sum();
        size += digest.ended().stream().mapToLong(MessageSizes::incarnation).sum();
        return size
                + digest.summary()
                        .map(s -> incarnation(s.origin())
                                + varint(s.sequence())
                                + nested(s.payload().size()))
                        .orElse(0L);
    }

    static long member(Member member) {
        return incarnation(member.incarnation())
                + varint(member.refutations())
                + text(member.zone().value())
                + endpoint(member.endpoint())
                + TAG_BYTES
                + 1;
    }

    static long endpoint(Endpoint endpoint) {
        return TAG_BYTES + LENGTH_BYTES + TAG_BYTES + LENGTH_BYTES + IPV4_BYTES + TAG_BYTES + PORT_BYTES;
    }

    static long incarnation(HostIncarnation incarnation) {
        return nested(
                text(incarnation.host().value()) + varint(incarnation.number().value()));
    }

    static long text(String text) {
        return TAG_BYTES + LENGTH_BYTES + Utf8.encodedLength(text);
    }

    static long nested(long bytes) {
        return TAG_BYTES + varint(bytes) - TAG_BYTES + bytes;
    }

    static long varint(long value) {
        return TAG_BYTES + Math.max(1, (Long.SIZE - Long.numberOfLeadingZeros(value) + 6) / 7);
    }
}
