package org.boragebarrow.standins.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.HostList.EntryHost;
import org.boragebarrow.port.HostList.Listing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A host list whose edits are visible to readers only after a lag; not thread-safe. */
final class LaggingHostList {
    private final long lagNanos;
    private final Deque<Edit> pendingEdits = new ArrayDeque<>();
    private Listing visibleListing;
    private Listing latestListing;

    LaggingHostList(Duration lag, Listing initial) {
        checkArgument(!lag.isNegative(), "host list lag must not be negative: %s", lag);
        this.lagNanos = lag.toNanos();
        this.visibleListing = checkNotNull(initial);
        this.latestListing = initial;
    }

    private record Edit(long atNanos, Listing listing) {}

    /** Returns the list that is visible to readers at this time. */
    Listing read(long nowNanos) {
        while (!pendingEdits.isEmpty() && nowNanos - pendingEdits.peek().atNanos >= lagNanos) {
            visibleListing = pendingEdits.poll().listing;
        }
        return visibleListing;
    }

    /** Replaces the list; readers see the new one after the lag. */
    void replace(Listing listing, long nowNanos) {
        latestListing = checkNotNull(listing);
        pendingEdits.add(new Edit(nowNanos, listing));
    }

    /** Marks the entry host or target with this id as leaving; returns whether the latest list contains it. */
    boolean markLeaving(String id, long nowNanos) {
        ImmutableList.Builder<EntryHost> hosts = ImmutableList.builder();
        ImmutableList.Builder<Target> targets = ImmutableList.builder();
        boolean found = false;
        for (EntryHost host : latestListing.entryHosts()) {
            boolean leaves = host.id().value().equals(id);
            found |= leaves;
            hosts.add(leaves ? new EntryHost(host.id(), host.zone(), host.endpoint(), true) : host);
        }
        for (Target target : latestListing.targets()) {
            boolean leaves = target.id().value().equals(id);
            found |= leaves;
            targets.add(leaves ? asLeaving(target) : target);
        }
        if (found) {
            replace(new Listing(hosts.build(), targets.build()), nowNanos);
        }
        return found;
    }

    private static Target asLeaving(Target target) {
        return new Target(target.id(), target.kind(), target.zone(), target.endpoint(), target.service(), true);
    }
}
