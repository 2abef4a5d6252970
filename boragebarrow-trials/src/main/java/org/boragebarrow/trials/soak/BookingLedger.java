package org.boragebarrow.trials.soak;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What callers were told of their bookings. Thread-safe. */
final class BookingLedger {
    private final Set<String> told = ConcurrentHashMap.newKeySet();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final Map<String, String> notRun = new ConcurrentHashMap<>();

    /** Notes a request that a caller sent. */
    void sent(String request) {
        told.add(request);
    }

    /** Notes a request that was answered as having run. */
    void ran(String request) {
        answered.add(request);
    }

    /** Notes a request that was answered as not having run. */
    void didNotRun(String request, String kind) {
        notRun.put(request, kind);
    }

    /** Compares what callers were told with the runs that the services counted. */
    void check(Map<String, Integer> runs, Violations violations) {
        for (String request : told) {
            int count = runs.getOrDefault(request, 0);
            if (count > 1) {
                violations.add(
                        "a call that may not be repeated runs at most once", request + " ran " + count + " times");
            }
            if (count > 0 && notRun.containsKey(request)) {
                violations.add("'not run' is true", request + " ran but was refused with " + notRun.get(request));
            }
            if (count == 0 && answered.contains(request)) {
                violations.add("an answer tells of a run", request + " was answered but did not run");
            }
        }
    }
}
