package org.boragebarrow.node.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;

/**
 * Checks whether targets whose connections ended before their answers were complete still accept connections, and reports those
 * that do not to the assigner. Confined to the event loop.
 *
 * <p>Load pattern: few requests, so that no other host is connected to a target that crashes, and nothing is sent to it before
 * it is back.
 */
final class CrashChecks {
    /** Delay of a check: a process that ends closes its connections and its port at about the same time. */
    private static final long DELAY_MILLIS = 50;

    /** The maximum number of checks in progress; crashes of more targets at once have one cause, which no prompt is. */
    private static final int MAX_CHECKS = 32;

    private final RelayContext context;
    private final Set<TargetIncarnation> inProgress = new HashSet<>();

    CrashChecks(RelayContext context) {
        this.context = context;
    }

    /** Checks the target, unless this is in progress already. */
    void check(FleetTarget target) {
        if (inProgress.size() >= MAX_CHECKS || !inProgress.add(target.incarnation())) {
            return;
        }
        context.loop().schedule(() -> connect(target), DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void connect(FleetTarget target) {
        context.calls()
                .refusesConnection(target)
                .whenComplete((refused, failure) ->
                        context.loop().execute(() -> onChecked(target, failure == null && refused)));
    }

    private void onChecked(FleetTarget target, boolean refused) {
        inProgress.remove(target.incarnation());
        if (refused) {
            context.assignments().reportRefusedConnection(target);
        }
    }
}
