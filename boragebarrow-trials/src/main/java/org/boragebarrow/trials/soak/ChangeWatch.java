package org.boragebarrow.trials.soak;

import java.util.IdentityHashMap;
import java.util.Map;

import org.boragebarrow.node.Host;

/** Checks that the number of the change that a host has applied never decreases. */
final class ChangeWatch implements Runnable {
    private static final long PERIOD_MILLIS = 20;

    private final World world;
    private final Map<Host, Long> seen = new IdentityHashMap<>();

    ChangeWatch(World context) {
        this.world = context;
    }

    @Override
    public void run() {
        while (!world.isStopped()) {
            world.deployment().hosts().forEach(this::look);
            Pause.millis(PERIOD_MILLIS);
        }
    }

    private void look(Host host) {
        long number = host.appliedChangeNumber();
        long before = seen.getOrDefault(host, 0L);
        if (number < before) {
            world.violations().add("a change never reverts", "from " + before + " to " + number);
        }
        seen.put(host, number);
    }
}
