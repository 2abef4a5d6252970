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
import org.boragebarrow.decision.observe.ObserveEffect.ShareVerdicts;
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
    private final Map<TargetId, Watch> watches = new TreeMap<>();
    private final JointVerdicts joint = new JointVerdicts();
    private ImmutableMap<TargetId, Target> targets = ImmutableMap.of();
    private Map<TargetId, Verdict> reported = new TreeMap<>();
    private ImmutableMap<TargetId, Verdict> shared = ImmutableMap.of();
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
            case ObserveEvent.TargetsListed listed -> listTargets(listed.targets(), nowNanos);
            case ObserveEvent.MembersChanged changed -> changeMembers(changed.view(), nowNanos);
            case ObserveEvent.PollAnswered answered ->
                watch(answered.target()).ifPresent(monitor -> monitor.answer(answered.poll(), answered.accepting()));
            case ObserveEvent.PollFailed failed ->
                watch(failed.target()).ifPresent(monitor -> monitor.fail(failed.poll()));
            case ObserveEvent.HoldingsListed listed -> listHoldings(listed, out, nowNanos);
            case ObserveEvent.VerdictsReceived received -> joint.tell(received.observer(), received.verdicts());
            case ObserveEvent.Ticked ticked -> watches.values().forEach(monitor -> monitor.tick(out, nowNanos));
        }
        share(out, nowNanos);
        report(out);
        return out.build();
    }

    private Optional<Watch> watch(TargetId target) {
        return Optional.ofNullable(watches.get(target));
    }

    private void listTargets(ImmutableList<Target> listed, long now) {
        targets = Maps.uniqueIndex(listed, Target::id);
        place(now);
    }

    private void changeMembers(MemberView changed, long now) {
        boolean endedChanged =
                view.filter(before -> before.ended().equals(changed.ended())).isEmpty();
        view = Optional.of(changed);
        if (endedChanged) {
            watches.values().forEach(monitor -> monitor.hurryListing(now));
        }
        if (!eligible.equals(changed.eligible())) {
            eligible = changed.eligible();
            place(now);
        }
    }

    private void place(long now) {
        observers = new TreeMap<>();
        targets.keySet().forEach(target -> observers.put(target, Roles.observers(target, eligible)));
        watches.keySet().removeIf(target -> !isMine(target));
        for (Target target : targets.values()) {
            if (isMine(target.id())) {
                watches.computeIfAbsent(target.id(), id -> new Watch(target, settings, random, now));
            }
        }
        joint.retain(targets, eligible);
        reported.keySet().retainAll(targets.keySet());
    }

    private boolean isMine(TargetId target) {
        return observers.getOrDefault(target, ImmutableList.of()).contains(self);
    }

    private void listHoldings(ObserveEvent.HoldingsListed listed, Effects out, long now) {
        if (view.isEmpty()) {
            return;
        }
        Watch monitor = watches.get(listed.target());
        if (monitor == null) {
            return;
        }
        monitor.orphans.list(listed.holdings(), view.get(), out, now);
        if (!monitor.orphans.isEmpty()) {
            monitor.hurryListing(now);
        }
    }

    private void share(Effects out, long now) {
        ImmutableMap.Builder<TargetId, Verdict> builder = ImmutableMap.builder();
        watches.forEach((target, monitor) -> {
            if (monitor.isJudged()) {
                builder.put(target, monitor.verdict());
            }
        });
        ImmutableMap<TargetId, Verdict> own = builder.buildOrThrow();
        boolean due = !own.isEmpty() && now - nextShareNanos >= 0;
        if (!due && own.equals(shared)) {
            return;
        }
        shared = own;
        nextShareNanos = now + settings.share().toNanos();
        joint.tell(self, own);
        out.add(new ShareVerdicts(own));
    }

    private void report(Effects out) {
        for (Target target : targets.values()) {
            Verdict aggregated = joint.join(target.id(), observers.get(target.id()));
            Verdict now = target.leaving() ? new Verdict(aggregated.reachable(), false) : aggregated;
            Verdict before = reported.getOrDefault(target.id(), Verdict.GOOD);
            if (!now.equals(before)) {
                reported.put(target.id(), now);
                out.add(new TargetChanged(target.id(), now));
            }
        }
    }
}
