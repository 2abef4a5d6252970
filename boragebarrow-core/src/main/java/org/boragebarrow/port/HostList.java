package org.boragebarrow.port;

import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;

/** The platform's list of hosts and targets, which may be out of date. The futures fail if it is unreachable. */
public interface HostList {
    /** Returns the list as the platform currently reports it. */
    CompletableFuture<Listing> list();

    /** The complete list at one time. */
    record Listing(ImmutableList<EntryHost> entryHosts, ImmutableList<Target> targets) {}

    /**
     * An entry host of the system.
     *
     * @param endpoint where it accepts connections of its peers
     * @param leaving whether the platform has announced that it will remove the host
     */
    record EntryHost(HostId id, AvailabilityZoneId zone, Endpoint endpoint, boolean leaving) {}
}
