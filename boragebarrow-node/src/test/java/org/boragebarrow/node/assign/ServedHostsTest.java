package org.boragebarrow.node.assign;

import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.model.HostId;

import static com.google.common.truth.Truth.assertThat;

class ServedHostsTest {
    private static final HostId SELF = HostId.of("self");
    private static final HostId OTHER = HostId.of("other");
    private static final HostId GONE = HostId.of("gone");

    private final List<AssignEvent> events = new ArrayList<>();
    private final ServedHosts served = new ServedHosts(SELF, 100, events::add);

    @Example
    void theAssignerIsToldOnlyOfChangesAndNotBeforeTheHostsAreKnown() {
        served.update(ImmutableSet.of(), 0);
        assertThat(events).isEmpty();
        ImmutableSet<HostId> registered = ImmutableSet.of(SELF, OTHER);
        served.recordContact(OTHER, 0);
        served.recordContact(GONE, 0);
        served.update(registered, 50);
        served.update(registered, 100);
        assertThat(events).containsExactly(new AssignEvent.HostsChanged(registered, registered));

        served.update(registered, 101);
        assertThat(events.get(1)).isEqualTo(new AssignEvent.HostsChanged(registered, ImmutableSet.of(SELF)));
    }
}
