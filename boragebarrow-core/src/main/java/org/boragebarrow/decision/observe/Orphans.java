package org.boragebarrow.decision.observe;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.observe.ObserveEffect.CancelSequence;
import org.boragebarrow.decision.observe.ObserveEffect.DeleteExport;
import org.boragebarrow.decision.observe.ObserveEffect.ReleaseReservation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl.Export;
import org.boragebarrow.port.EngineControl.Holdings;
import org.boragebarrow.port.EngineControl.Reservation;
import org.boragebarrow.port.EngineControl.Sequence;

/**
 * Finds orphaned sequences, reservations and exports at one engine and cancels each until a listing no longer contains
 * it.
 *
 * <p>A holding is an orphan if the host incarnation that owns it has ended, or if it exceeds its time limit by more
 * than the slack. An export has no time limit; it is an orphan once it has been listed for longer than the maximum time
 * limit of a request plus the slack.
 */
final class Orphans {
    private final TargetId target;
    private final ObserveSettings settings;
    private final Map<ObserveEffect, Long> overdueSince = new HashMap<>();
    private final Map<ObserveEffect, Retry> retries = new HashMap<>();

    Orphans(TargetId target, ObserveSettings settings) {
        this.target = target;
        this.settings = settings;
    }

    boolean isEmpty() {
        return retries.isEmpty();
    }

    /** Handles a listing and adds the cancellations that are due to the effects. */
    void handleListing(Holdings holdings, MemberView view, Effects out, long now) {
        Set<ObserveEffect> listed = new HashSet<>();
        for (Sequence sequence : holdings.sequences()) {
            ObserveEffect cancel = new CancelSequence(target, sequence.attempt());
            listed.add(cancel);
            checkHolding(
                    cancel, sequence.attempt(), isPastTimeLimit(cancel, sequence.remaining(), now), view, out, now);
        }
        for (Reservation reservation : holdings.reservations()) {
            ObserveEffect release = new ReleaseReservation(target, reservation.attempt());
            listed.add(release);
            checkHolding(
                    release,
                    reservation.attempt(),
                    isPastTimeLimit(release, reservation.remaining(), now),
                    view,
                    out,
                    now);
        }
        for (Export export : holdings.exports()) {
            ObserveEffect delete = new DeleteExport(target, export.id());
            listed.add(delete);
            checkHolding(delete, export.attempt(), isExportExpired(delete, now), view, out, now);
        }
        overdueSince.keySet().retainAll(listed);
        retries.keySet().retainAll(listed);
    }

    private void checkHolding(
            ObserveEffect cancel, AttemptId attempt, boolean expired, MemberView view, Effects out, long now) {
        if (!expired && !view.isEnded(attempt.owner())) {
            retries.remove(cancel);
            return;
        }
        Retry retry = retries.computeIfAbsent(cancel, c -> new Retry(now, settings.initialRetryDelay()));
        if (now - retry.dueNanos >= 0) {
            retry.dueNanos = now + retry.delay.toNanos();
            retry.delay = min(retry.delay.multipliedBy(2), settings.maxRetryDelay());
            out.add(cancel);
        }
    }

    /**
     * Returns whether the holding exceeds its time limit by more than the slack.
     *
     * <p>An engine may never report a negative remaining time, so the time since the first listing without remaining
     * time is considered too.
     */
    private boolean isPastTimeLimit(ObserveEffect holding, Duration remaining, long now) {
        if (!remaining.isZero() && !remaining.isNegative()) {
            overdueSince.remove(holding);
            return false;
        }
        long since = overdueSince.computeIfAbsent(holding, h -> now);
        Duration past = remaining.negated();
        return past.compareTo(settings.slack()) > 0
                || now - since > settings.slack().toNanos();
    }

    private boolean isExportExpired(ObserveEffect export, long now) {
        long since = overdueSince.computeIfAbsent(export, e -> now);
        return now - since > settings.maxTimeLimit().plus(settings.slack()).toNanos();
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static final class Retry {
        long dueNanos;
        Duration delay;

        Retry(long dueNanos, Duration delay) {
            this.dueNanos = dueNanos;
            this.delay = delay;
        }
    }
}
