package org.boragebarrow.port;

import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;

/** The platform's lagging list of live and leaving hosts; futures fail when it is unreachable. */
public interface HostList {
    /** Returns the list as the platform tells it now. */
    CompletableFuture<Listing> list();

    /** The whole list at one moment. */
    record Listing(ImmutableList<EntryHost> entryHosts, ImmutableList<Target> targets) {}

    /**
     * An entry host of the system.
     *
     * @param endpoint where its peers reach it
     */
    record EntryHost(HostId id, AvailabilityZoneId zone, Endpoint endpoint, boolean leaving) {}
}
