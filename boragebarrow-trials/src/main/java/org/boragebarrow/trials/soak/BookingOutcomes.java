package org.boragebarrow.trials.soak;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Records the outcomes of bookings that callers received and compares them with the runs. Thread-safe. */
final class BookingOutcomes {
    private final Set<String> sentRequests = ConcurrentHashMap.newKeySet();
    private final Set<String> reportedAsRun = ConcurrentHashMap.newKeySet();
    private final Map<String, String> reportedAsNotRun = new ConcurrentHashMap<>();

    /** Records that a caller sent the request. */
    void recordSent(String request) {
        sentRequests.add(request);
    }

    /** Records that the response reported a run of the request. */
    void recordRun(String request) {
        reportedAsRun.add(request);
    }

    /** Records that the response reported with an error kind that the request did not run. */
    void recordNotRun(String request, String kind) {
        reportedAsNotRun.put(request, kind);
    }

    /** Compares the recorded outcomes with the runs of each request that the services counted. */
    void check(Map<String, Integer> runs, Violations violations) {
        for (String request : sentRequests) {
            int count = runs.getOrDefault(request, 0);
            if (count > 1) {
                violations.add(
                        "a call that may not be repeated runs at most once", request + " ran " + count + " times");
            }
            if (count > 0 && reportedAsNotRun.containsKey(request)) {
                violations.add(
                        "'not run' is true", request + " ran but was refused with " + reportedAsNotRun.get(request));
            }
            if (count == 0 && reportedAsRun.contains(request)) {
                violations.add("a successful booking has run", request + " was answered but did not run");
            }
        }
    }
}
