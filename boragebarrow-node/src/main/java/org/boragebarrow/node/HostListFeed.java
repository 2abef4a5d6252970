package org.boragebarrow.node;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.member.MemberEvent;
import org.boragebarrow.decision.member.MemberEvent.Seed;
import org.boragebarrow.decision.member.MemberEvent.SeedSource;
import org.boragebarrow.decision.observe.ObserveEvent;
import org.boragebarrow.model.Target;
import org.boragebarrow.node.dispatch.DispatchRouter;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.MemberDuty;
import org.boragebarrow.node.settings.HostSettings;
import org.boragebarrow.node.target.ObserveDuty;
import org.boragebarrow.node.target.TargetDirectory;
import org.boragebarrow.port.HostList;

import static com.google.common.base.Preconditions.checkNotNull;

/** Publishes the known hosts and targets to the duties: first from the settings, then from the platform's host list. */
final class HostListFeed {
    private static final EventLog LOG = EventLog.of(HostListFeed.class);

    private final HostSettings settings;
    private final HostList hostList;
    private final Receivers receivers;

    /** The duties that receive the hosts and targets. */
    record Receivers(
            TargetDirectory directory, MemberDuty members, DispatchRouter dispatchRouter, ObserveDuty observeDuty) {}

    HostListFeed(HostSettings settings, HostList hostList, Receivers receivers) {
        this.settings = checkNotNull(settings);
        this.hostList = checkNotNull(hostList);
        this.receivers = checkNotNull(receivers);
    }

    /** Publishes the seeds and targets of the settings; they stay in use until the host list is first read. */
    void start() {
        ImmutableList<Seed> seeds = settings.seeds().stream()
                .map(seed -> new Seed(seed.endpoint(), Optional.of(seed.zone())))
                .collect(ImmutableList.toImmutableList());
        receivers.members().offer(new MemberEvent.SeedsListed(SeedSource.SETTINGS, seeds));
        if (!settings.targets().isEmpty()) {
            publishTargets();
        }
    }

    /** Reads the host list and publishes it; if the read fails, the last list stays in use. */
    void read() {
        hostList.list().whenComplete((listing, failure) -> {
            if (failure != null) {
                LOG.write(LogEvent.HOST_LIST_UNREACHABLE, failure.getMessage());
                return;
            }
            receivers.directory().replace(listing.targets());
            publishTargets();
            receivers.members().offer(new MemberEvent.SeedsListed(SeedSource.HOST_LIST, seedsOf(listing)));
        });
    }

    private void publishTargets() {
        ImmutableList<Target> zoneTargets = receivers.directory().inZone(settings.zone());
        receivers.dispatchRouter().setTargets(zoneTargets);
        receivers.observeDuty().offer(new ObserveEvent.TargetsListed(zoneTargets));
    }

    private static ImmutableList<Seed> seedsOf(HostList.Listing listing) {
        return listing.entryHosts().stream()
                .map(host -> new Seed(host.endpoint(), Optional.of(host.zone())))
                .collect(ImmutableList.toImmutableList());
    }
}
