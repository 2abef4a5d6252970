package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.evacuation.EmptiedZones;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.decision.warmth.ColdTargets;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

/**
 * The targets of a region with the work that each has, and which of them a piece of work may use.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class TargetPool {
    private final Map<TargetId, TargetLoad> loads = new LinkedHashMap<>();
    private final ZoneReachability reachability = new ZoneReachability();
    private final QuietPairs quietPairs = new QuietPairs();
    private final EmptiedZones emptied = new EmptiedZones();
    private final ColdTargets cold = new ColdTargets();
    private ZoneRegions regions = ZoneRegions.NONE;
    private boolean hasHadTargets;

    /** Applies a change of which targets work may use. */
    void apply(AssignEvent.PermissionsChanged event, long now) {
        switch (event) {
            case AssignEvent.ZonesEmptied changed ->
                takeBack(emptied.replace(changed.zones(), now).takenBack(), now);
            case AssignEvent.RegionsChanged changed -> regions = changed.regions();
            case AssignEvent.ColdStartsChanged changed -> cold.setColdStarts(changed.starts());
            case AssignEvent.ColdReported reported -> cold.recordReport(reported.target(), reported.left(), now);
            case AssignEvent.HostsChanged changed -> cold.setHosts(changed.registered(), changed.served());
        }
    }

    private void takeBack(ImmutableSet<AvailabilityZoneId> zones, long now) {
        for (TargetLoad load : loads.values()) {
            if (zones.contains(load.target().zone())) {
                cold.recordTakenBack(load.target().incarnation(), now);
            }
        }
    }

    /** Records that work was newly assigned to the targets, which counts for the pace of cold ones. */
    void recordDealt(Assignment assignment, long now) {
        cold.take(assignment.target(), now);
        assignment.helpers().forEach(helper -> cold.take(helper.target(), now));
    }

    /** Returns the number of targets that the work may use as soon as their pace allows one more request. */
    int countPaced(Work work, long now) {
        if (cold.isEmpty()) {
            return 0;
        }
        int count = 0;
        for (TargetLoad load : loads.values()) {
            boolean fits = serves(load, work.service()) && permits(work, load.target());
            count += fits && !cold.wait(load.target(), now).isZero() ? 1 : 0;
        }
        return count;
    }

    /** Replaces the targets; returns the incarnations that ended although they were not draining. */
    ImmutableList<TargetIncarnation> update(ImmutableList<FleetTarget> targets, long now) {
        Map<TargetId, FleetTarget> present = new HashMap<>();
        targets.forEach(target -> present.put(target.id(), target));
        ImmutableList<TargetIncarnation> ended = ended(present);
        for (TargetId id : ImmutableList.copyOf(loads.keySet())) {
            if (!present.containsKey(id)) {
                loads.remove(id);
                cold.forget(id);
            }
        }
        for (FleetTarget target : targets) {
            TargetLoad known = loads.get(target.id());
            if (known != null && known.target().isSameIncarnation(target)) {
                known.update(target);
            } else {
                loads.put(target.id(), new TargetLoad(target, now));
                if (hasHadTargets) {
                    cold.recordStart(target.incarnation(), now);
                }
            }
        }
        hasHadTargets |= !targets.isEmpty();
        return ended;
    }

    private ImmutableList<TargetIncarnation> ended(Map<TargetId, FleetTarget> present) {
        ImmutableList.Builder<TargetIncarnation> ended = ImmutableList.builder();
        for (TargetLoad load : loads.values()) {
            FleetTarget known = load.target();
            FleetTarget entry = present.get(known.id());
            if (!known.draining() && (entry == null || !known.isSameIncarnation(entry))) {
                ended.add(known.incarnation());
            }
        }
        return ended.build();
    }

    /** Applies the time since the last call to the prefill of all targets. */
    void advance(Map<ServiceName, EngineProfile> profiles, long now) {
        for (TargetLoad load : loads.values()) {
            if (load.isIdle()) {
                load.skipTo(now);
                continue;
            }
            load.advance(now, Optional.ofNullable(profiles.get(load.target().service())));
        }
    }

    Optional<TargetLoad> find(TargetId id) {
        return Optional.ofNullable(loads.get(id));
    }

    /** Returns the loads of those of the targets that are known. */
    List<TargetLoad> find(Collection<TargetId> ids) {
        List<TargetLoad> found = new ArrayList<>(ids.size());
        for (TargetId id : ids) {
            find(id).ifPresent(found::add);
        }
        return found;
    }

    /** Returns the targets that accept new work of the service and that the work may use at some time. */
    List<TargetLoad> permitted(Work work) {
        return loads.values().stream()
                .filter(load -> serves(load, work.service()) && permits(work, load.target()))
                .toList();
    }

    /** Returns why the work may use none of the targets that accept new work of its service, if that is so. */
    Optional<RefusalReason> prohibition(Work work) {
        Optional<RefusalReason> reason = Optional.empty();
        for (TargetLoad load : loads.values()) {
            if (!serves(load, work.service())) {
                continue;
            }
            if (permits(work, load.target())) {
                return Optional.empty();
            }
            if (isAtHome(work, load.target())) {
                reason = Optional.of(RefusalReason.ZONES_EMPTIED);
            } else if (reason.isEmpty()) {
                reason = Optional.of(RefusalReason.OUTSIDE_HOMES);
            }
        }
        return reason;
    }

    private boolean isAtHome(Work work, FleetTarget target) {
        return regions.allows(work.terms().homes(), target.zone());
    }

    /** Returns whether operators let the work reach the target. */
    private boolean permits(Work work, FleetTarget target) {
        return !emptied.contains(target.zone())
                && !work.terms().closedZones().contains(target.zone())
                && isAtHome(work, target);
    }

    private static boolean serves(TargetLoad load, ServiceName service) {
        FleetTarget target = load.target();
        return !target.draining() && target.service().equals(service);
    }

    /** Returns the targets that can be assigned the work; ejected or unreachable ones only if there are no others. */
    List<TargetLoad> candidates(Work work, long now) {
        List<TargetLoad> healthy = new ArrayList<>();
        List<TargetLoad> unhealthy = new ArrayList<>();
        for (TargetLoad load : loads.values()) {
            FleetTarget target = load.target();
            boolean fits = serves(load, work.service())
                    && permits(work, target)
                    && !work.excluded().contains(target.id())
                    && cold.wait(target, now).isZero()
                    && quietPairs.allows(work.id().owner().host(), load, now);
            if (!fits) {
                continue;
            }
            boolean reachable = reachability.allows(work.zone(), target.zone(), now);
            (reachable && load.health().allows(now, load.ownedCount()) ? healthy : unhealthy).add(load);
        }
        return healthy.isEmpty() ? unhealthy : healthy;
    }

    /** Returns whether the target is cold or was a short time ago. */
    boolean isCold(TargetLoad load, long now) {
        return cold.isLimited(load.target(), now);
    }

    /** Records that work was sent to the target. */
    void onSent(Work work, TargetLoad owner, long now) {
        reachability.onSent(work.zone(), owner.target().zone(), now);
    }

    /** Records the outcome of an attempt at the target that answered it. */
    void recordOutcome(Work work, TargetLoad owner, Outcome outcome, long now) {
        owner.health().record(outcome, now);
        reachability.record(work.zone(), owner.target().zone(), outcome, now);
    }

    /** Records that the target refused a connection. */
    void recordRefusedConnection(TargetIncarnation target, long now) {
        find(target.id())
                .filter(load -> load.target().incarnation().equals(target))
                .ifPresent(load -> load.health().record(Outcome.UNREACHABLE, now));
    }

    /** Records that a target wants no requests of a host for a time. */
    void recordQuiet(HostId host, TargetIncarnation target, Duration time, long now) {
        quietPairs.report(host, target, time, now);
    }

    /** Returns the time until the target may get a request of the host: it wants none, or its pace as a cold one allows none. */
    Duration quietTime(HostId host, TargetLoad load, long now) {
        return Comparators.max(quietPairs.remaining(host, load.target(), now), cold.wait(load.target(), now));
    }

    /** Returns the targets that take clearly longer than usual, with the factor. */
    ImmutableMap<TargetId, Double> slowTargets() {
        return loads.values().stream()
                .filter(load -> load.slowness() > 1)
                .collect(ImmutableMap.toImmutableMap(load -> load.target().id(), TargetLoad::slowness));
    }

    void removeHost(HostId host) {
        quietPairs.removeHost(host);
    }

    /** Returns what distinguishes the work's candidates from those of other work, apart from excluded targets. */
    CandidateGroup group(Work work) {
        HostId host = work.id().owner().host();
        return new CandidateGroup(
                work.service(),
                work.zone(),
                work.terms().closedZones(),
                work.terms().homes(),
                quietPairs.concerns(host) ? Optional.of(host) : Optional.empty());
    }

    /**
     * Work with the same candidates, apart from those that an earlier attempt excluded.
     *
     * @param closedZones zones whose targets the work may not use, apart from those that all work may not use
     * @param homes the regions that the work may reach, if not all
     * @param host the work's host, if some targets may want no requests of it
     */
    record CandidateGroup(
            ServiceName service,
            AvailabilityZoneId zone,
            ImmutableSet<AvailabilityZoneId> closedZones,
            Optional<ImmutableSet<RegionId>> homes,
            Optional<HostId> host) {}

    ImmutableMap<ServiceName, Integer> countByService() {
        return ImmutableMap.copyOf(loads.values().stream()
                .collect(Collectors.toMap(load -> load.target().service(), load -> 1, Integer::sum)));
    }
}
