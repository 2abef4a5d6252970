package org.boragebarrow.decision.pace;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many times longer than usual one incarnation of a target takes, as far as its latest answers show.
 *
 * <p>A target counts as slow while the median of its latest answers is far from usual: one long answer is no evidence.
 * The evidence is forgotten after some seconds, so that a recovered target gets work again; one long answer then
 * suffices to renew it.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
public final class TargetPace {
    /** The times that count as one in all decisions, so that ordinary differences change no decision. */
    private static final double MIN_SLOWNESS = 2;

    /** The largest factor that decisions use; slower targets are as good as unresponsive. */
    private static final double MAX_SLOWNESS = 8;

    private static final int MAX_ANSWERS = 5;

    /** Answers without which a target is not slow, unless it was a short time ago. */
    private static final int MIN_ANSWERS = 3;

    /** Answers that come within this time have one cause, like a long pass, and count once. */
    private static final long TOGETHER_NANOS = 250_000_000L;

    /** Time for which an answer is evidence. */
    private static final long EVIDENCE_NANOS = 6_000_000_000L;

    /** Time after the evidence in which one answer suffices to renew it. */
    private static final long PROBATION_NANOS = 20_000_000_000L;

    private final Deque<Answer> answers = new ArrayDeque<>();
    private double slowness = 1;
    private long slowUntil;
    private boolean everSlow;

    private record Answer(double ratio, long at) {}

    /**
     * Records an answer.
     *
     * @param ratio its time, relative to what is usual for such requests
     */
    public void record(double ratio, long now) {
        checkArgument(ratio >= 0, "negative ratio: %s", ratio);
        Answer last = answers.peekLast();
        boolean together = last != null && now - last.at() < TOGETHER_NANOS;
        answers.addLast(
                together
                        ? new Answer(Math.min(ratio, answers.removeLast().ratio()), last.at())
                        : new Answer(ratio, now));
        if (answers.size() > MAX_ANSWERS) {
            answers.removeFirst();
        }
        while (now - answers.peekFirst().at() > EVIDENCE_NANOS) {
            answers.removeFirst();
        }
        assess(now);
    }

    /** Records an answer that did not come within a time; says nothing unless that is clearly longer than usual. */
    public void recordMissing(double ratio, long now) {
        if (ratio >= MIN_SLOWNESS) {
            record(ratio, now);
        }
    }

    private void assess(long now) {
        boolean onProbation = everSlow && now - slowUntil < PROBATION_NANOS;
        if (answers.size() < (onProbation ? 1 : MIN_ANSWERS)) {
            return;
        }
        double median = median();
        if (median < MIN_SLOWNESS) {
            slowness = 1;
            return;
        }
        everSlow = true;
        slowness = Math.min(MAX_SLOWNESS, median);
        slowUntil = now + EVIDENCE_NANOS;
    }

    /** Returns the median of the answers' ratios; of two middle ones the smaller. */
    private double median() {
        double[] ratios = answers.stream().mapToDouble(Answer::ratio).toArray();
        Arrays.sort(ratios);
        return ratios[(ratios.length - 1) / 2];
    }

    /** Returns how many times longer than usual the target takes: 1, or at least 2 if it is clearly slow. */
    public double slowness(long now) {
        return slowness == 1 || now - slowUntil > 0 ? 1 : slowness;
    }
}
