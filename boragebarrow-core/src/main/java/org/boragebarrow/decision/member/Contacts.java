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

/** Addresses without a known live host at which one may answer; probed with exponential backoff. */
final class Contacts {
    private static final int MAX_PROBES_PER_ROUND = 8;
    private static final int MAX_DELAY_PERIODS = 8;
    private static final Duration ENDED_HOST_RETENTION = Duration.ofMinutes(10);

    private static final Comparator<Contact> LONGEST_DUE_FIRST = Comparator.comparingLong(point -> point.dueNanos);

    private final Map<SeedSource, ImmutableList<Seed>> seeds = new EnumMap<>(SeedSource.class);
    private final Map<Endpoint, Contact> contacts = new LinkedHashMap<>();

    void list(SeedsListed event, long now) {
        seeds.put(event.source(), event.seeds());
        for (Seed seed : event.seeds()) {
            add(seed.endpoint(), seed.zone(), Long.MAX_VALUE, now);
        }
        contacts.values().removeIf(point -> point.untilNanos == Long.MAX_VALUE && !isListed(point.endpoint));
    }

    private boolean isListed(Endpoint endpoint) {
        return seeds.values().stream()
                .flatMap(ImmutableList::stream)
                .anyMatch(seed -> seed.endpoint().equals(endpoint));
    }

    /** Keeps the address of an ended host for probing, as the same host may restart there. */
    void remember(Member member, long now) {
        add(member.endpoint(), Optional.of(member.zone()), now + ENDED_HOST_RETENTION.toNanos(), now);
    }

    private void add(Endpoint endpoint, Optional<AvailabilityZoneId> zone, long expiry, long now) {
        Contact point = contacts.computeIfAbsent(endpoint, Contact::new);
        point.untilNanos = Math.max(point.untilNanos, expiry);
        point.zone = zone.or(() -> point.zone);
        point.dueNanos = now;
        point.delayPeriods = 1;
    }

    /**
     * Returns the addresses to probe now, and schedules their next probes.
     *
     * @param live whether a responsive host is known at an address
     * @param responsive whether a zone needs no probes, as it is responsive
     * @param period the time between two rounds of probes, in nanoseconds
     */
    ImmutableList<Endpoint> due(
            Predicate<Endpoint> live, Predicate<AvailabilityZoneId> responsive, long period, long now) {
        contacts.values().removeIf(point -> point.untilNanos < now);
        ImmutableList<Contact> needed = contacts.values().stream()
                .filter(point -> now >= point.dueNanos && !live.test(point.endpoint))
                .filter(point -> point.zone.filter(responsive).isEmpty())
                .collect(ImmutableList.toImmutableList());
        ImmutableList.Builder<Endpoint> due = ImmutableList.builder();
        for (Contact point : Ordering.from(LONGEST_DUE_FIRST).leastOf(needed, MAX_PROBES_PER_ROUND)) {
            due.add(point.endpoint);
            point.dueNanos = now + point.delayPeriods * period;
            point.delayPeriods = Math.min(point.delayPeriods * 2, MAX_DELAY_PERIODS);
        }
        return due.build();
    }

    private static final class Contact {
        final Endpoint endpoint;
        Optional<AvailabilityZoneId> zone = Optional.empty();
        long untilNanos = Long.MIN_VALUE;
        long dueNanos;
        int delayPeriods = 1;

        Contact(Endpoint endpoint) {
            this.endpoint = endpoint;
        }
    }
}
