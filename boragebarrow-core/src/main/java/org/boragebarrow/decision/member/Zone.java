package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;

/** What this host knows of one other zone, and what it last told it; mutable. */
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

    /** Returns a number that grows with each change of what the zone told. */
    long revision() {
        return revision;
    }

    /** Takes a digest and returns whether it is news; one that was overtaken by a later one is dropped. */
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
                .filter(offered -> summary.isEmpty() || offered.replaces(summary.get()))
                .ifPresent(offered -> {
                    revision++;
                    summary = digest.summary();
                });
        return true;
    }

    private void takeMembers(ImmutableList<Member> told, EndedLives ended) {
        boolean clean = told.stream().noneMatch(member -> ended.contains(member.life()));
        ImmutableList<Member> live = clean
                ? told
                : told.stream()
                        .filter(member -> !ended.contains(member.life()))
                        .collect(ImmutableList.toImmutableList());
        if (!live.equals(members)) {
            revision++;
            members = live;
        }
    }

    /** Returns whether the last digest counted other members than are known. */
    boolean lacksMembers() {
        return last.filter(digest -> digest.memberCount() != members.size()).isPresent();
    }

    /** Returns the known lives of hosts that the list names with a later life. */
    ImmutableList<HostLife> supersededBy(ImmutableList<Member> later) {
        ImmutableList.Builder<HostLife> superseded = ImmutableList.builder();
        for (Member member : later) {
            find(member.host())
                    .map(Member::life)
                    .filter(life -> life.compareTo(member.life()) < 0)
                    .ifPresent(superseded::add);
        }
        return superseded.build();
    }

    private static boolean isSameCount(ZoneDigest earlier, ZoneDigest digest) {
        return earlier.lowestApplied() == digest.lowestApplied() && earlier.memberCount() == digest.memberCount();
    }

    private static boolean overtakes(ZoneDigest earlier, ZoneDigest digest) {
        // A repeat may be the full form of a digest that came without members before.
        long least = digest.members().isEmpty() ? earlier.sequence() + 1 : earlier.sequence();
        return earlier.origin().equals(digest.origin()) && digest.sequence() < least;
    }

    /** Adds a member that introduced itself before any digest named it. */
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

    /** Returns a known member, another one at each call. */
    Optional<Member> nextMember() {
        if (members.isEmpty()) {
            return Optional.empty();
        }
        rotation = (rotation + 1) % members.size();
        return Optional.of(Iterables.get(members, rotation));
    }

    /** Returns the members to tell the zone: none if it was told the same ones lately. */
    ImmutableList<Member> membersToTell(ImmutableList<Member> own, long refreshNanos, long now) {
        if (own.equals(toldMembers) && toldNanos != NEVER && now - toldNanos < refreshNanos) {
            return ImmutableList.of();
        }
        toldMembers = own;
        toldNanos = now;
        return own;
    }

    /** Returns the summary to tell the zone: none if it was told the same one. */
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

    /** Returns the last digest with all that is known of the zone, for a host that knows nothing yet. */
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
