package org.boragebarrow.standins.service;

import java.util.Map;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Multiset;

/** Counts the runs of each request and attempt, and the bookings; not thread-safe. */
final class RunCounters {
    private final Multiset<String> requests = HashMultiset.create();
    private final Multiset<String> attempts = HashMultiset.create();
    private final Multiset<Booking> bookings = HashMultiset.create();

    void countRun(String request, String attempt) {
        requests.add(request);
        attempts.add(attempt);
    }

    /** Books the slot and returns the number of the booking. */
    int book(Booking booking) {
        bookings.add(booking);
        return bookings.size();
    }

    RunsAnswer runs() {
        int duplicates = bookings.size() - bookings.elementSet().size();
        return new RunsAnswer(counts(requests), counts(attempts), bookings.size(), duplicates);
    }

    private static Map<String, Integer> counts(Multiset<String> ids) {
        return ids.entrySet().stream()
                .collect(ImmutableSortedMap.toImmutableSortedMap(
                        String::compareTo, Multiset.Entry::getElement, Multiset.Entry::getCount));
    }
}
