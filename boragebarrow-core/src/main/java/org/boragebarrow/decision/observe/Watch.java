package org.boragebarrow.decision.observe;

import java.util.SplittableRandom;

import org.boragebarrow.decision.observe.ObserveEffect.ListHoldings;
import org.boragebarrow.decision.observe.ObserveEffect.Poll;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetKind;

/** Monitors one target that this host polls and determines its status, with hysteresis; mutable. */
final class Watch {
    private static final int FAILURES_TO_UNREACHABLE = 3;
    private static final int ANSWERS_TO_REACHABLE = 2;
    private static final double JITTER = 0.1;

    final Orphans orphans;
    private final Target target;
    private final ObserveSettings settings;
    private final SplittableRandom random;
    private Verdict verdict = Verdict.GOOD;
    private boolean judged;
    private int failures;
    private int answers;
    private long polls;
    private boolean pollOpen;
    private long pollSentNanos;
    private long nextPollNanos;
    private long nextListingNanos;

    Watch(Target target, ObserveSettings settings, SplittableRandom random, long now) {
        this.target = target;
        this.settings = settings;
        this.random = random;
        this.orphans = new Orphans(target.id(), settings);
        this.nextPollNanos = now + random.nextLong(settings.poll().toNanos());
        this.nextListingNanos = now + random.nextLong(settings.listing().toNanos());
    }

    /** Returns whether enough polls were answered or have failed to determine the status. */
    boolean isJudged() {
        return judged;
    }

    Verdict verdict() {
        return verdict;
    }

    void tick(Effects out, long now) {
        boolean timedOut =
                pollOpen && now - pollSentNanos >= settings.pollTimeout().toNanos();
        if (timedOut) {
            fail(polls);
        }
        if (!pollOpen && now - nextPollNanos >= 0) {
            nextPollNanos = now + jittered(settings.poll().toNanos());
            pollOpen = true;
            pollSentNanos = now;
            out.add(new Poll(target.id(), ++polls));
        }
        boolean listingDue = target.kind() == TargetKind.ENGINE && now - nextListingNanos >= 0;
        if (listingDue) {
            nextListingNanos = now + jittered(listingPeriod());
            out.add(new ListHoldings(target.id()));
        }
    }

    private long listingPeriod() {
        return orphans.isEmpty()
                ? settings.listing().toNanos()
                : settings.firstRetry().toNanos();
    }

    private long jittered(long period) {
        return (long) (period * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }

    /** Expedites the next listing, because a host incarnation has ended or an orphan was found. */
    void hurryListing(long now) {
        long expeditedNanos = now + random.nextLong(settings.firstRetry().toNanos());
        nextListingNanos = Math.min(nextListingNanos, expeditedNanos);
    }

    void answer(long poll, boolean accepting) {
        if (!isOpen(poll)) {
            return;
        }
        pollOpen = false;
        failures = 0;
        answers++;
        boolean reachable = verdict.reachable() || answers >= ANSWERS_TO_REACHABLE;
        judged = true;
        verdict = new Verdict(reachable, accepting);
    }

    void fail(long poll) {
        if (!isOpen(poll)) {
            return;
        }
        pollOpen = false;
        answers = 0;
        failures++;
        if (failures >= FAILURES_TO_UNREACHABLE) {
            judged = true;
            verdict = new Verdict(false, verdict.accepting());
        }
    }

    private boolean isOpen(long poll) {
        return pollOpen && poll == polls;
    }
}
