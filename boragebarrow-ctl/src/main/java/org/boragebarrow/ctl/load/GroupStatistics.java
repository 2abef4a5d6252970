package org.boragebarrow.ctl.load;

import java.util.EnumMap;
import java.util.Map;

import com.google.common.collect.Multiset;
import com.google.common.collect.TreeMultiset;
import org.HdrHistogram.Histogram;
import org.boragebarrow.ctl.caller.AnswerEnd;

/** Counts and latencies of the requests of one group; not thread-safe. */
final class GroupStatistics {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private final Multiset<String> errorKinds = TreeMultiset.create();
    private final Histogram firstTokenMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram totalMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long offeredTokens;
    private long finishedTokens;

    void add(Result result, Outcome outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
        addErrorKind(result.end());
        long intended = result.arrival().intendedNanos();
        result.firstTokenNanos().ifPresent(at -> record(firstTokenMicros, at - intended));
        if (outcome == Outcome.OK) {
            record(totalMicros, result.endNanos() - intended);
        }
        if (result.arrival().work() instanceof Arrival.Prompt prompt) {
            offeredTokens += prompt.tokens();
            finishedTokens += outcome == Outcome.OK ? prompt.tokens() : 0;
        }
    }

    private void addErrorKind(AnswerEnd end) {
        switch (end) {
            case AnswerEnd.Refused refused -> errorKinds.add(refused.kind());
            case AnswerEnd.Failed failed -> errorKinds.add(failed.kind());
            case AnswerEnd.Complete complete -> {}
            case AnswerEnd.Cut cut -> {}
        }
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.clamp(nanos / NANOS_PER_MICRO, 0, MAX_MICROS));
    }

    int requestCount() {
        return outcomes.values().stream().mapToInt(Integer::intValue).sum();
    }

    int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Returns the kinds of the errors that ended requests, with their counts. */
    Multiset<String> errorKinds() {
        return errorKinds;
    }

    /** Returns the times from the intended send times to the first tokens, in microseconds. */
    Histogram firstTokenMicros() {
        return firstTokenMicros;
    }

    /**
     * Returns the times from the intended send times to the ends of the responses, in microseconds.
     *
     * <p>Only requests with {@link Outcome#OK} are included.
     */
    Histogram totalMicros() {
        return totalMicros;
    }

    long offeredTokens() {
        return offeredTokens;
    }

    long finishedTokens() {
        return finishedTokens;
    }
}
