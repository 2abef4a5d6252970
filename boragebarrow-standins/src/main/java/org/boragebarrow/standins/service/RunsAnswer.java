package org.boragebarrow.standins.service;

import java.util.Map;

import com.google.common.collect.ImmutableMap;

/**
 * The calls that the service has run since its start.
 *
 * @param requests the number of runs of each request id
 * @param attempts the number of runs of each attempt id
 * @param bookings the number of all bookings, including duplicates
 * @param doubledBookings the number of duplicate bookings, of a slot for an order that already had this slot
 */
public record RunsAnswer(
        Map<String, Integer> requests, Map<String, Integer> attempts, int bookings, int doubledBookings) {
    public RunsAnswer {
        requests = ImmutableMap.copyOf(requests);
        attempts = ImmutableMap.copyOf(attempts);
    }
}
