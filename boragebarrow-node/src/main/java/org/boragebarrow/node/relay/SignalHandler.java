package org.boragebarrow.node.relay;

import java.time.Duration;

import com.google.common.base.Ticker;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.QuietPeriods;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.fleet.TargetSignal;
import org.boragebarrow.node.assign.RegionAssignments;
import org.boragebarrow.node.metrics.HostMetrics;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Applies what targets announce in their answers to this host's fleet and requests, and what other hosts pass on. Confined to the
 * event loop.
 */
final class SignalHandler implements TargetCalls.SignalListener, RegionAssignments.LeavingListener {
    private final Fleet fleet;
    private final QuietPeriods quiet;
    private final Ticker ticker;
    private final DecisionLog log;
    private final HostMetrics metrics;
    private final Outputs outputs;

    /** Receives what follows from a signal. */
    interface Outputs {
        /** Called when the targets that accept new work have changed. */
        void onFleetChanged();

        /** Called when no new request may be sent to a target, so that requests that wait for it are placed elsewhere. */
        void takeBack(TargetIncarnation target);

        /** Tells other hosts that a target is leaving. */
        void announceLeaving(TargetIncarnation target);

        /** Tells the assigner that a target wants no requests of this host for a time. */
        void announceQuiet(TargetIncarnation target, Duration time);
    }

    SignalHandler(
            Fleet fleet, QuietPeriods quiet, Ticker ticker, DecisionLog log, HostMetrics metrics, Outputs outputs) {
        this.fleet = checkNotNull(fleet);
        this.quiet = checkNotNull(quiet);
        this.ticker = checkNotNull(ticker);
        this.log = checkNotNull(log);
        this.metrics = checkNotNull(metrics);
        this.outputs = checkNotNull(outputs);
    }

    @Override
    public void onSignal(FleetTarget target, TargetSignal signal) {
        switch (signal) {
            case TargetSignal.Leaving ignored -> {
                if (recordLeaving(target.incarnation(), "answer")) {
                    outputs.announceLeaving(target.incarnation());
                }
            }
            case TargetSignal.QuietRequested requested -> recordQuiet(target.incarnation(), requested.time());
            case TargetSignal.InvalidTime invalid -> logUnusable(target.incarnation(), invalid.value());
        }
    }

    private void logUnusable(TargetIncarnation target, String time) {
        log.write(
                RelayEvent.UNUSABLE,
                "target",
                target.id(),
                "reason",
                "unusable time for which the target wants no requests: " + time);
    }

    private void recordQuiet(TargetIncarnation target, Duration time) {
        if (time.compareTo(QuietPeriods.MAX_TIME) > 0) {
            logUnusable(target, time.toSeconds() + " s; " + QuietPeriods.MAX_TIME.toSeconds() + " s are granted");
        }
        long now = ticker.read();
        if (!quiet.request(target, time, now)) {
            return;
        }
        Duration granted = quiet.remaining(target, now);
        log.write(RelayEvent.TARGET_QUIET, "target", target.id(), "for_ms", granted.toMillis());
        metrics.targetQuiet();
        outputs.announceQuiet(target, granted);
        outputs.takeBack(target);
    }

    @Override
    public void onAnnouncedLeaving(TargetIncarnation target) {
        recordLeaving(target, "host");
    }

    private boolean recordLeaving(TargetIncarnation target, String source) {
        if (!fleet.recordLeaving(target)) {
            return false;
        }
        log.write(
                RelayEvent.TARGET,
                "target",
                target.id(),
                "state",
                "leaving",
                "started_ms",
                target.startedMillis(),
                "source",
                source);
        metrics.targetLeaving();
        outputs.onFleetChanged();
        outputs.takeBack(target);
        return true;
    }
}
