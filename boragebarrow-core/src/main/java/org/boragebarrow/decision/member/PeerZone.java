package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;

/** The state of one other zone, and what this host last sent to it; mutable. */
final class PeerZone {
    private static final long NEVER = Long.MIN_VALUE;

    final AvailabilityZoneId id;
    private Optional<ZoneDigest> lastDigest = Optional.empty();
    private ImmutableList<Member> members = ImmutableList.of();
    private Optional<Summary> summary = Optional.empty();
    private long lastDigestNanos = NEVER;
    private ImmutableList<Member> sentMembers = ImmutableList.of();
    private long membersSentNanos = NEVER;
    private Optional<Summary> sentSummary = Optional.empty();
    private int lastIndex;
    private long revision;

    PeerZone(AvailabilityZoneId id) {
        this.id = id;
    }

    /** Returns a number that increases with each change of what was received from the zone. */
    long revision() {
        return revision;
    }

    /** Applies a digest, unless it is outdated or a duplicate; returns whether it was applied. */
    boolean accept(ZoneDigest digest, EndedIncarnations ended, long now) {
        if (lastDigest.filter(earlier -> supersedes(earlier, digest)).isPresent()) {
            return false;
        }
        if (lastDigestNanos == NEVER
                || lastDigest.filter(earlier -> hasSameCounts(earlier, digest)).isEmpty()) {
            revision++;
        }
        lastDigest = Optional.of(digest);
        lastDigestNanos = now;
        updateMembers(digest.members().isEmpty() ? members : digest.members(), ended);
        digest.summary()
                .filter(received -> summary.isEmpty() || received.replaces(summary.get()))
                .ifPresent(received -> {
                    revision++;
                    summary = digest.summary();
                });
        return true;
    }

    private void updateMembers(ImmutableList<Member> received, EndedIncarnations ended) {
        boolean noneEnded = received.stream().noneMatch(member -> ended.contains(member.incarnation()));
        ImmutableList<Member> live = noneEnded
                ? received
                : received.stream()
                        .filter(member -> !ended.contains(member.incarnation()))
                        .collect(ImmutableList.toImmutableList());
        if (!live.equals(members)) {
            revision++;
            members = live;
        }
    }

    /** Returns whether the member count of the last digest differs from the number of known members. */
    boolean lacksMembers() {
        return lastDigest
                .filter(digest -> digest.memberCount() != members.size())
                .isPresent();
    }

    /** Returns the known incarnations of hosts for which the list has a later one. */
    ImmutableList<HostIncarnation> supersededBy(ImmutableList<Member> later) {
        ImmutableList.Builder<HostIncarnation> superseded = ImmutableList.builder();
        for (Member member : later) {
            find(member.host())
                    .map(Member::incarnation)
                    .filter(incarnation -> incarnation.compareTo(member.incarnation()) < 0)
                    .ifPresent(superseded::add);
        }
        return superseded.build();
    }

    private static boolean hasSameCounts(ZoneDigest earlier, ZoneDigest digest) {
        return earlier.lowestApplied() == digest.lowestApplied() && earlier.memberCount() == digest.memberCount();
    }

    private static boolean supersedes(ZoneDigest earlier, ZoneDigest digest) {
        // A digest with the same sequence may be the full form of one that came without members before.
        long minSequence = digest.members().isEmpty() ? earlier.sequence() + 1 : earlier.sequence();
        return earlier.origin().equals(digest.origin()) && digest.sequence() < minSequence;
    }

    /** Adds a member that sent a heartbeat before any digest of its zone was received. */
    void addFromHeartbeat(Member member) {
        if (lastDigest.isEmpty()
                && members.stream().noneMatch(known -> known.incarnation().equals(member.incarnation()))) {
            members =
                    ImmutableList.<Member>builder().addAll(members).add(member).build();
        }
    }

    boolean isResponsive(long withinNanos, long now) {
        return lastDigestNanos != NEVER && now - lastDigestNanos <= withinNanos;
    }

    void shiftTimestamps(long nanos) {
        lastDigestNanos += lastDigestNanos == NEVER ? 0 : nanos;
    }

    ImmutableSet<HostId> hosts() {
        return members.stream()
                .filter(member -> !member.leaving())
                .map(Member::host)
                .collect(ImmutableSet.toImmutableSet());
    }

    Optional<Member> find(HostId host) {
        return members.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    /** Returns the known members in turn, one at each call. */
    Optional<Member> nextMember() {
        if (members.isEmpty()) {
            return Optional.empty();
        }
        lastIndex = (lastIndex + 1) % members.size();
        return Optional.of(Iterables.get(members, lastIndex));
    }

    /** Returns the members to send to the zone: none if the same ones were sent within the refresh interval. */
    ImmutableList<Member> membersToSend(ImmutableList<Member> own, long refreshNanos, long now) {
        if (own.equals(sentMembers) && membersSentNanos != NEVER && now - membersSentNanos < refreshNanos) {
            return ImmutableList.of();
        }
        sentMembers = own;
        membersSentNanos = now;
        return own;
    }

    /** Returns the summary to send to the zone: none if the same one was sent before. */
    Optional<Summary> summaryToSend(Optional<Summary> own) {
        if (own.equals(sentSummary)) {
            return Optional.empty();
        }
        sentSummary = own;
        return own;
    }

    /** Makes the next digest to the zone a full one. */
    void resetSent() {
        membersSentNanos = NEVER;
        sentSummary = Optional.empty();
    }

    /** Returns the last digest with all known members and the summary, for a host without any state of the zone. */
    Optional<ZoneDigest> fullDigest() {
        return lastDigest.map(digest -> new ZoneDigest(
                id,
                digest.origin(),
                digest.sequence(),
                digest.lowestApplied(),
                digest.highestKnown(),
                digest.memberCount(),
                members,
                ImmutableList.of(),
                summary,
                true));
    }

    ZonesView.ZoneStatus status(long timeoutNanos, long now) {
        return new ZonesView.ZoneStatus(
                isResponsive(timeoutNanos, now),
                lastDigest.map(ZoneDigest::lowestApplied).orElse(0L),
                lastDigest.map(ZoneDigest::memberCount).orElse(members.size()),
                members,
                summary.map(Summary::payload));
    }
}
