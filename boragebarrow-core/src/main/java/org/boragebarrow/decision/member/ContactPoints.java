package org.boragebarrow.decision.member;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Ordering;
import org.boragebarrow.decision.member.MemberEvent.Seed;
import org.boragebarrow.decision.member.MemberEvent.SeedSource;
import org.boragebarrow.decision.member.MemberEvent.SeedsListed;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;

/** Addresses at which no live host is known but one may answer; probed with exponential backoff. */
final class ContactPoints {
    private static final int MAX_PROBES_PER_ROUND = 8;
    private static final int MAX_DELAY_INTERVALS = 8;
    private static final Duration ENDED_HOST_RETENTION = Duration.ofMinutes(10);

    private static final Comparator<ContactPoint> LONGEST_DUE_FIRST =
            Comparator.comparingLong(point -> point.nextProbeNanos);

    private final Map<SeedSource, ImmutableList<Seed>> seeds = new EnumMap<>(SeedSource.class);
    private final Map<Endpoint, ContactPoint> contactPoints = new LinkedHashMap<>();

    void updateSeeds(SeedsListed event, long now) {
        seeds.put(event.source(), event.seeds());
        for (Seed seed : event.seeds()) {
            add(seed.endpoint(), seed.zone(), Long.MAX_VALUE, now);
        }
        contactPoints.values().removeIf(point -> point.expiryNanos == Long.MAX_VALUE && !isListed(point.endpoint));
    }

    private boolean isListed(Endpoint endpoint) {
        return seeds.values().stream()
                .flatMap(ImmutableList::stream)
                .anyMatch(seed -> seed.endpoint().equals(endpoint));
    }

    /** Keeps the address of an ended host for probing, as the same host may restart there. */
    void retain(Member member, long now) {
        add(member.endpoint(), Optional.of(member.zone()), now + ENDED_HOST_RETENTION.toNanos(), now);
    }

    private void add(Endpoint endpoint, Optional<AvailabilityZoneId> zone, long expiry, long now) {
        ContactPoint point = contactPoints.computeIfAbsent(endpoint, ContactPoint::new);
        point.expiryNanos = Math.max(point.expiryNanos, expiry);
        point.zone = zone.or(() -> point.zone);
        point.nextProbeNanos = now;
        point.delayIntervals = 1;
    }

    /**
     * Returns the addresses to probe now, and schedules their next probes.
     *
     * @param live whether a responsive host is known at an address
     * @param responsive whether a zone is responsive, so that its addresses need no probes
     * @param interval the time between two rounds of probes, in nanoseconds
     */
    ImmutableList<Endpoint> selectDue(
            Predicate<Endpoint> live, Predicate<AvailabilityZoneId> responsive, long interval, long now) {
        contactPoints.values().removeIf(point -> point.expiryNanos < now);
        ImmutableList<ContactPoint> needed = contactPoints.values().stream()
                .filter(point -> now >= point.nextProbeNanos && !live.test(point.endpoint))
                .filter(point -> point.zone.filter(responsive).isEmpty())
                .collect(ImmutableList.toImmutableList());
        ImmutableList.Builder<Endpoint> due = ImmutableList.builder();
        for (ContactPoint point : Ordering.from(LONGEST_DUE_FIRST).leastOf(needed, MAX_PROBES_PER_ROUND)) {
            due.add(point.endpoint);
            point.nextProbeNanos = now + point.delayIntervals * interval;
            point.delayIntervals = Math.min(point.delayIntervals * 2, MAX_DELAY_INTERVALS);
        }
        return due.build();
    }

    private static final class ContactPoint {
        final Endpoint endpoint;
        Optional<AvailabilityZoneId> zone = Optional.empty();
        long expiryNanos = Long.MIN_VALUE;
        long nextProbeNanos;
        int delayIntervals = 1;

        ContactPoint(Endpoint endpoint) {
            this.endpoint = endpoint;
        }
    }
}
