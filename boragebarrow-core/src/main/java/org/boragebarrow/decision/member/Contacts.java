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

/** Addresses where no live host is known at present but one may answer; probed with an exponential delay. */
final class Contacts {
    private static final int MAX_PROBES_PER_ROUND = 8;
    private static final int MAX_DELAY_PERIODS = 8;
    private static final Duration ENDED_HOST_RETENTION = Duration.ofMinutes(10);

    private static final Comparator<Contact> LONGEST_DUE_FIRST = Comparator.comparingLong(contact -> contact.dueNanos);

    private final Map<SeedSource, ImmutableList<Seed>> seeds = new EnumMap<>(SeedSource.class);
    private final Map<Endpoint, Contact> contacts = new LinkedHashMap<>();

    void list(SeedsListed event, long now) {
        seeds.put(event.source(), event.seeds());
        for (Seed seed : event.seeds()) {
            add(seed.endpoint(), seed.zone(), Long.MAX_VALUE, now);
        }
        contacts.values().removeIf(contact -> contact.untilNanos == Long.MAX_VALUE && !isListed(contact.endpoint));
    }

    private boolean isListed(Endpoint endpoint) {
        return seeds.values().stream()
                .flatMap(ImmutableList::stream)
                .anyMatch(seed -> seed.endpoint().equals(endpoint));
    }

    /** Remembers where an ended host was, as the same host may come back there. */
    void remember(Member member, long now) {
        add(member.endpoint(), Optional.of(member.zone()), now + ENDED_HOST_RETENTION.toNanos(), now);
    }

    private void add(Endpoint endpoint, Optional<AvailabilityZoneId> zone, long until, long now) {
        Contact contact = contacts.computeIfAbsent(endpoint, Contact::new);
        contact.untilNanos = Math.max(contact.untilNanos, until);
        contact.zone = zone.or(() -> contact.zone);
        contact.dueNanos = now;
        contact.delayPeriods = 1;
    }

    /** Returns the addresses to probe now. */
    ImmutableList<Endpoint> due(Predicate<Endpoint> known, Predicate<AvailabilityZoneId> heard, long period, long now) {
        contacts.values().removeIf(contact -> contact.untilNanos < now);
        ImmutableList<Contact> needed = contacts.values().stream()
                .filter(contact -> now >= contact.dueNanos && !known.test(contact.endpoint))
                .filter(contact -> contact.zone.filter(heard).isEmpty())
                .collect(ImmutableList.toImmutableList());
        ImmutableList.Builder<Endpoint> due = ImmutableList.builder();
        for (Contact contact : Ordering.from(LONGEST_DUE_FIRST).leastOf(needed, MAX_PROBES_PER_ROUND)) {
            due.add(contact.endpoint);
            contact.dueNanos = now + contact.delayPeriods * period;
            contact.delayPeriods = Math.min(contact.delayPeriods * 2, MAX_DELAY_PERIODS);
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
