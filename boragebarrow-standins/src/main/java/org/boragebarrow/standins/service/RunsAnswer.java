package org.boragebarrow.standins.service;

import java.util.Map;

import com.google.common.collect.ImmutableMap;

/**
 * Tells what has run.
 *
 * @param requests the runs of each request id
 * @param attempts the runs of each attempt id
 * @param bookings all bookings that were made
 * @param doubledBookings the bookings of a slot for an order that had that slot already
 */
public record RunsAnswer(
        Map<String, Integer> requests, Map<String, Integer> attempts, int bookings, int doubledBookings) {
    public RunsAnswer {
        requests = ImmutableMap.copyOf(requests);
        attempts = ImmutableMap.copyOf(attempts);
    }
}
