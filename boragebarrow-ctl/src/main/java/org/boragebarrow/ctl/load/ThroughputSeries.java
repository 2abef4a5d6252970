package org.boragebarrow.ctl.load;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;

/** Tokens of prompts and responses that were offered and finished in each second of a run; not thread-safe. */
final class ThroughputSeries {
    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final long[] offered;
    private final long[] finishedOfOffered;
    private final long[] finished;

    ThroughputSeries(Duration duration) {
        int seconds = (int) Math.ceil(Rate.seconds(duration.toNanos()));
        this.offered = new long[seconds];
        this.finishedOfOffered = new long[seconds];
        this.finished = new long[seconds];
    }

    void add(Result result, Outcome outcome) {
        if (!(result.arrival().work() instanceof Arrival.Prompt prompt)) {
            return;
        }
        add(offered, result.arrival().intendedNanos(), prompt.tokens());
        if (outcome == Outcome.OK) {
            add(finishedOfOffered, result.arrival().intendedNanos(), prompt.tokens());
            add(finished, result.endNanos(), prompt.tokens());
        }
    }

    private static void add(long[] series, long nanos, long tokens) {
        long second = nanos / NANOS_PER_SECOND;
        if (second < series.length) {
            series[(int) second] += tokens;
        }
    }

    /** Returns the tokens of the requests whose intended send time was in each second. */
    ImmutableLongArray offered() {
        return ImmutableLongArray.copyOf(offered);
    }

    /**
     * Returns the tokens of the requests whose intended send time was in each second and that were completed in time,
     * in the same second or later.
     */
    ImmutableLongArray finishedOfOffered() {
        return ImmutableLongArray.copyOf(finishedOfOffered);
    }

    /** Returns the tokens of the requests that were completed in time and ended in each second. */
    ImmutableLongArray finished() {
        return ImmutableLongArray.copyOf(finished);
    }

    ImmutableList<String> csv() {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add("second,offered_tokens,finished_of_offered_tokens,finished_tokens");
        for (int i = 0; i < offered.length; i++) {
            lines.add(i + "," + offered[i] + "," + finishedOfOffered[i] + "," + finished[i]);
        }
        return lines.build();
    }
}
