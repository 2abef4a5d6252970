package org.boragebarrow.node.assign;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The hosts that request targets from this host's assigner, or would as soon as they need one, as they probe it.
 *
 * <p>Confined to the event loop. Times are monotonic nanoseconds.
 */
final class ServedHosts {
    private final HostId self;
    private final long timeoutNanos;
    private final Consumer<AssignEvent> assigner;
    private final Map<HostId, Long> contactAt = new HashMap<>();
    private ImmutableSet<HostId> registered = ImmutableSet.of();
    private ImmutableSet<HostId> served = ImmutableSet.of();

    /**
     * Creates a view of this host only.
     *
     * @param timeoutNanos the time without a request or probe after which a host is no longer served
     * @param assigner receives {@link AssignEvent.HostsChanged} events
     */
    ServedHosts(HostId self, long timeoutNanos, Consumer<AssignEvent> assigner) {
        this.self = checkNotNull(self);
        this.timeoutNanos = timeoutNanos;
        this.assigner = checkNotNull(assigner);
    }

    /** Records a request or a probe of a host. */
    void recordContact(HostId host, long now) {
        contactAt.put(host, now);
    }

    /** Tells the assigner the hosts if they have changed; none before the registered hosts are known. */
    void update(Set<HostId> known, long now) {
        if (known.isEmpty()) {
            return;
        }
        contactAt
                .entrySet()
                .removeIf(contact -> now - contact.getValue() > timeoutNanos || !known.contains(contact.getKey()));
        ImmutableSet<HostId> current = ImmutableSet.<HostId>builder()
                .add(self)
                .addAll(contactAt.keySet())
                .build();
        if (current.equals(served) && known.equals(registered)) {
            return;
        }
        served = current;
        registered = ImmutableSet.copyOf(known);
        assigner.accept(new AssignEvent.HostsChanged(registered, served));
    }
}
