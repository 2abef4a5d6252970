package org.boragebarrow.decision.observe;

import java.util.SplittableRandom;

import org.boragebarrow.decision.observe.ObserveEffect.ListHoldings;
import org.boragebarrow.decision.observe.ObserveEffect.Poll;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetKind;

/** Monitors one target that this host polls and determines its status, with hysteresis; mutable. */
final class TargetMonitor {
    private static final int FAILURES_TO_UNREACHABLE = 3;
    private static final int ANSWERS_TO_REACHABLE = 2;
    private static final double JITTER = 0.1;

    final Orphans orphans;
    private final Target target;
    private final ObserveSettings settings;
    private final SplittableRandom random;
    private TargetStatus status = TargetStatus.AVAILABLE;
    private boolean determined;
    private int consecutiveFailures;
    private int consecutiveAnswers;
    private long lastPollNumber;
    private boolean pollPending;
    private long pollSentNanos;
    private long nextPollNanos;
    private long nextListingNanos;

    TargetMonitor(Target target, ObserveSettings settings, SplittableRandom random, long now) {
        this.target = target;
        this.settings = settings;
        this.random = random;
        this.orphans = new Orphans(target.id(), settings);
        this.nextPollNanos = now + random.nextLong(settings.pollInterval().toNanos());
        this.nextListingNanos = now + random.nextLong(settings.listingInterval().toNanos());
    }

    /** Returns whether enough polls have succeeded or failed for the status to be known. */
    boolean isDetermined() {
        return determined;
    }

    TargetStatus status() {
        return status;
    }

    void tick(Effects out, long now) {
        boolean timedOut =
                pollPending && now - pollSentNanos >= settings.pollTimeout().toNanos();
        if (timedOut) {
            recordFailure(lastPollNumber);
        }
        if (!pollPending && now - nextPollNanos >= 0) {
            nextPollNanos = now + jittered(settings.pollInterval().toNanos());
            pollPending = true;
            pollSentNanos = now;
            out.add(new Poll(target.id(), ++lastPollNumber));
        }
        boolean listingDue = target.kind() == TargetKind.ENGINE && now - nextListingNanos >= 0;
        if (listingDue) {
            nextListingNanos = now + jittered(nextListingDelay());
            out.add(new ListHoldings(target.id()));
        }
    }

    private long nextListingDelay() {
        return orphans.isEmpty()
                ? settings.listingInterval().toNanos()
                : settings.initialRetryDelay().toNanos();
    }

    private long jittered(long interval) {
        return (long) (interval * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }

    /** Expedites the next listing, because a host incarnation has ended or an orphan was found. */
    void expediteListing(long now) {
        long expeditedNanos = now + random.nextLong(settings.initialRetryDelay().toNanos());
        nextListingNanos = Math.min(nextListingNanos, expeditedNanos);
    }

    void recordAnswer(long poll, boolean accepting) {
        if (!isPending(poll)) {
            return;
        }
        pollPending = false;
        consecutiveFailures = 0;
        consecutiveAnswers++;
        boolean reachable = status.reachable() || consecutiveAnswers >= ANSWERS_TO_REACHABLE;
        determined = true;
        status = new TargetStatus(reachable, accepting);
    }

    void recordFailure(long poll) {
        if (!isPending(poll)) {
            return;
        }
        pollPending = false;
        consecutiveAnswers = 0;
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_TO_UNREACHABLE) {
            determined = true;
            status = new TargetStatus(false, status.accepting());
        }
    }

    private boolean isPending(long poll) {
        return pollPending && poll == lastPollNumber;
    }
}
