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
    private final Deque<Edit> unseen = new ArrayDeque<>();
    private Listing seen;
    private Listing latest;

    LaggingHostList(Duration lag, Listing initial) {
        checkArgument(!lag.isNegative(), "host list lag must not be negative: %s", lag);
        this.lagNanos = lag.toNanos();
        this.seen = checkNotNull(initial);
        this.latest = initial;
    }

    private record Edit(long atNanos, Listing listing) {}

    /** Returns the list that is visible to readers at this time. */
    Listing read(long nowNanos) {
        while (!unseen.isEmpty() && nowNanos - unseen.peek().atNanos >= lagNanos) {
            seen = unseen.poll().listing;
        }
        return seen;
    }

    /** Replaces the list; readers see the new one after the lag. */
    void edit(Listing listing, long nowNanos) {
        latest = checkNotNull(listing);
        unseen.add(new Edit(nowNanos, listing));
    }

    /** Marks the entry host or target with this id as leaving; returns whether the latest list contains it. */
    boolean announceLeaving(String id, long nowNanos) {
        ImmutableList.Builder<EntryHost> hosts = ImmutableList.builder();
        ImmutableList.Builder<Target> targets = ImmutableList.builder();
        boolean found = false;
        for (EntryHost host : latest.entryHosts()) {
            boolean leaves = host.id().value().equals(id);
            found |= leaves;
            hosts.add(leaves ? new EntryHost(host.id(), host.zone(), host.endpoint(), true) : host);
        }
        for (Target target : latest.targets()) {
            boolean leaves = target.id().value().equals(id);
            found |= leaves;
            targets.add(leaves ? leaving(target) : target);
        }
        if (found) {
            edit(new Listing(hosts.build(), targets.build()), nowNanos);
        }
        return found;
    }

    private static Target leaving(Target target) {
        return new Target(target.id(), target.kind(), target.zone(), target.endpoint(), target.service(), true);
    }
}
