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
final class Zone {
    private static final long NEVER = Long.MIN_VALUE;

    final AvailabilityZoneId id;
    private Optional<ZoneDigest> last = Optional.empty();
    private ImmutableList<Member> members = ImmutableList.of();
    private Optional<Summary> summary = Optional.empty();
    private long heardNanos = NEVER;
    private ImmutableList<Member> toldMembers = ImmutableList.of();
    private long toldNanos = NEVER;
    private Optional<Summary> toldSummary = Optional.empty();
    private int rotation;
    private long revision;

    Zone(AvailabilityZoneId id) {
        this.id = id;
    }

    /** Returns a number that increases with each change of what was received from the zone. */
    long revision() {
        return revision;
    }

    /** Applies a digest, unless a later one of the same origin was applied before; returns whether it was applied. */
    boolean accept(ZoneDigest digest, EndedLives ended, long now) {
        if (last.filter(earlier -> overtakes(earlier, digest)).isPresent()) {
            return false;
        }
        if (heardNanos == NEVER
                || last.filter(earlier -> isSameCount(earlier, digest)).isEmpty()) {
            revision++;
        }
        last = Optional.of(digest);
        heardNanos = now;
        takeMembers(digest.members().isEmpty() ? members : digest.members(), ended);
        digest.summary()
                .filter(received -> summary.isEmpty() || received.replaces(summary.get()))
                .ifPresent(received -> {
                    revision++;
                    summary = digest.summary();
                });
        return true;
    }

    private void takeMembers(ImmutableList<Member> received, EndedLives ended) {
        boolean noneEnded = received.stream().noneMatch(member -> ended.contains(member.life()));
        ImmutableList<Member> live = noneEnded
                ? received
                : received.stream()
                        .filter(member -> !ended.contains(member.life()))
                        .collect(ImmutableList.toImmutableList());
        if (!live.equals(members)) {
            revision++;
            members = live;
        }
    }

    /** Returns whether the last digest has another number of members than are known. */
    boolean lacksMembers() {
        return last.filter(digest -> digest.memberCount() != members.size()).isPresent();
    }

    /** Returns the known incarnations of hosts for which the list has a later one. */
    ImmutableList<HostIncarnation> supersededBy(ImmutableList<Member> later) {
        ImmutableList.Builder<HostIncarnation> superseded = ImmutableList.builder();
        for (Member member : later) {
            find(member.host())
                    .map(Member::life)
                    .filter(incarnation -> incarnation.compareTo(member.life()) < 0)
                    .ifPresent(superseded::add);
        }
        return superseded.build();
    }

    private static boolean isSameCount(ZoneDigest earlier, ZoneDigest digest) {
        return earlier.lowestApplied() == digest.lowestApplied() && earlier.memberCount() == digest.memberCount();
    }

    private static boolean overtakes(ZoneDigest earlier, ZoneDigest digest) {
        // A digest with the same sequence may be the full form of one that came without members before.
        long least = digest.members().isEmpty() ? earlier.sequence() + 1 : earlier.sequence();
        return earlier.origin().equals(digest.origin()) && digest.sequence() < least;
    }

    /** Adds a member that sent a heartbeat before any digest of its zone was received. */
    void meet(Member member) {
        if (last.isEmpty() && members.stream().noneMatch(known -> known.life().equals(member.life()))) {
            members =
                    ImmutableList.<Member>builder().addAll(members).add(member).build();
        }
    }

    boolean isHeard(long withinNanos, long now) {
        return heardNanos != NEVER && now - heardNanos <= withinNanos;
    }

    void shift(long nanos) {
        heardNanos += heardNanos == NEVER ? 0 : nanos;
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
        rotation = (rotation + 1) % members.size();
        return Optional.of(Iterables.get(members, rotation));
    }

    /** Returns the members to send to the zone: none if the same ones were sent within the refresh period. */
    ImmutableList<Member> membersToTell(ImmutableList<Member> own, long refreshNanos, long now) {
        if (own.equals(toldMembers) && toldNanos != NEVER && now - toldNanos < refreshNanos) {
            return ImmutableList.of();
        }
        toldMembers = own;
        toldNanos = now;
        return own;
    }

    /** Returns the summary to send to the zone: none if the same one was sent before. */
    Optional<Summary> summaryToTell(Optional<Summary> own) {
        if (own.equals(toldSummary)) {
            return Optional.empty();
        }
        toldSummary = own;
        return own;
    }

    /** Makes the next digest to the zone a full one. */
    void forgetTold() {
        toldNanos = NEVER;
        toldSummary = Optional.empty();
    }

    /** Returns the last digest with all known members and the summary, for a host without any state of the zone. */
    Optional<ZoneDigest> full() {
        return last.map(digest -> new ZoneDigest(
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
                isHeard(timeoutNanos, now),
                last.map(ZoneDigest::lowestApplied).orElse(0L),
                last.map(ZoneDigest::memberCount).orElse(members.size()),
                members,
                summary.map(Summary::payload));
    }
}
