package org.boragebarrow.trials.soak;

import java.util.IdentityHashMap;
import java.util.Map;

import org.boragebarrow.node.Host;

/** Checks that the number of the change that a host has applied never decreases. */
final class ChangeOrderCheck implements Runnable {
    private static final long POLL_MILLIS = 20;

    private final SoakContext context;
    private final Map<Host, Long> lastNumbers = new IdentityHashMap<>();

    ChangeOrderCheck(SoakContext context) {
        this.context = context;
    }

    @Override
    public void run() {
        while (!context.isStopped()) {
            context.deployment().hosts().forEach(this::check);
            Pause.millis(POLL_MILLIS);
        }
    }

    private void check(Host host) {
        long number = host.appliedChangeNumber();
        long before = lastNumbers.getOrDefault(host, 0L);
        if (number < before) {
            context.violations().add("a change never reverts", "from " + before + " to " + number);
        }
        lastNumbers.put(host, number);
    }
}
