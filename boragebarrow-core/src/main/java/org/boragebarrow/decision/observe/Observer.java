package org.boragebarrow.decision.observe;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.observe.ObserveEffect.ShareStatuses;
import org.boragebarrow.decision.observe.ObserveEffect.TargetChanged;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Monitors the targets of a zone, together with the observers of the zone's other hosts.
 *
 * <p>Every host of the zone runs one: each polls the targets that rendezvous hashing assigns to it, sends their
 * statuses to the other hosts, and aggregates the statuses that it receives into one status for each target of the
 * zone.
 */
public final class Observer implements Machine<ObserveEvent, ObserveEffect> {
    private final HostId self;
    private final ObserveSettings settings;
    private final SplittableRandom random;
    private final Map<TargetId, TargetMonitor> monitors = new TreeMap<>();
    private final StatusAggregator aggregator = new StatusAggregator();
    private ImmutableMap<TargetId, Target> targets = ImmutableMap.of();
    private Map<TargetId, TargetStatus> reported = new TreeMap<>();
    private ImmutableMap<TargetId, TargetStatus> lastShared = ImmutableMap.of();
    private Optional<MemberView> view = Optional.empty();
    private ImmutableSet<HostId> eligible;
    private Map<TargetId, ImmutableList<HostId>> observers = new TreeMap<>();
    private long nextShareNanos;

    /** Creates an observer without targets; the seed determines the jitter that spreads its polls over time. */
    public Observer(HostId self, ObserveSettings settings, long seed) {
        this.self = checkNotNull(self);
        this.settings = checkNotNull(settings);
        this.random = new SplittableRandom(seed);
        this.eligible = ImmutableSet.of(self);
    }

    @Override
    public ImmutableList<ObserveEffect> apply(ObserveEvent event, long nowNanos) {
        checkNotNull(event);
        Effects out = new Effects();
        switch (event) {
            case ObserveEvent.TargetsListed listed -> updateTargets(listed.targets(), nowNanos);
            case ObserveEvent.MembersChanged changed -> updateMembers(changed.view(), nowNanos);
            case ObserveEvent.PollAnswered answered ->
                monitor(answered.target())
                        .ifPresent(monitor -> monitor.recordAnswer(answered.pollNumber(), answered.accepting()));
            case ObserveEvent.PollFailed failed ->
                monitor(failed.target()).ifPresent(monitor -> monitor.recordFailure(failed.pollNumber()));
            case ObserveEvent.HoldingsListed listed -> handleHoldings(listed, out, nowNanos);
            case ObserveEvent.StatusesReceived received -> aggregator.update(received.observer(), received.statuses());
            case ObserveEvent.Ticked ticked -> monitors.values().forEach(monitor -> monitor.tick(out, nowNanos));
        }
        shareStatuses(out, nowNanos);
        reportChanges(out);
        return out.build();
    }

    private Optional<TargetMonitor> monitor(TargetId target) {
        return Optional.ofNullable(monitors.get(target));
    }

    private void updateTargets(ImmutableList<Target> listed, long now) {
        targets = Maps.uniqueIndex(listed, Target::id);
        assignTargets(now);
    }

    private void updateMembers(MemberView changed, long now) {
        boolean endedChanged =
                view.filter(before -> before.ended().equals(changed.ended())).isEmpty();
        view = Optional.of(changed);
        if (endedChanged) {
            monitors.values().forEach(monitor -> monitor.expediteListing(now));
        }
        if (!eligible.equals(changed.eligible())) {
            eligible = changed.eligible();
            assignTargets(now);
        }
    }

    private void assignTargets(long now) {
        observers = new TreeMap<>();
        targets.keySet().forEach(target -> observers.put(target, Roles.observers(target, eligible)));
        monitors.keySet().removeIf(target -> !isObservedBySelf(target));
        for (Target target : targets.values()) {
            if (isObservedBySelf(target.id())) {
                monitors.computeIfAbsent(target.id(), id -> new TargetMonitor(target, settings, random, now));
            }
        }
        aggregator.retain(targets, eligible);
        reported.keySet().retainAll(targets.keySet());
    }

    private boolean isObservedBySelf(TargetId target) {
        return observers.getOrDefault(target, ImmutableList.of()).contains(self);
    }

    private void handleHoldings(ObserveEvent.HoldingsListed listed, Effects out, long now) {
        if (view.isEmpty()) {
            return;
        }
        TargetMonitor monitor = monitors.get(listed.target());
        if (monitor == null) {
            return;
        }
        monitor.orphans.handleListing(listed.holdings(), view.get(), out, now);
        if (!monitor.orphans.isEmpty()) {
            monitor.expediteListing(now);
        }
    }

    private void shareStatuses(Effects out, long now) {
        ImmutableMap.Builder<TargetId, TargetStatus> builder = ImmutableMap.builder();
        monitors.forEach((target, monitor) -> {
            if (monitor.isDetermined()) {
                builder.put(target, monitor.status());
            }
        });
        ImmutableMap<TargetId, TargetStatus> own = builder.buildOrThrow();
        boolean due = !own.isEmpty() && now - nextShareNanos >= 0;
        if (!due && own.equals(lastShared)) {
            return;
        }
        lastShared = own;
        nextShareNanos = now + settings.shareInterval().toNanos();
        aggregator.update(self, own);
        out.add(new ShareStatuses(own));
    }

    private void reportChanges(Effects out) {
        for (Target target : targets.values()) {
            TargetStatus aggregated = aggregator.aggregate(target.id(), observers.get(target.id()));
            TargetStatus current = target.leaving() ? new TargetStatus(aggregated.reachable(), false) : aggregated;
            TargetStatus previous = reported.getOrDefault(target.id(), TargetStatus.AVAILABLE);
            if (!current.equals(previous)) {
                reported.put(target.id(), current);
                out.add(new TargetChanged(target.id(), current));
            }
        }
    }
}
