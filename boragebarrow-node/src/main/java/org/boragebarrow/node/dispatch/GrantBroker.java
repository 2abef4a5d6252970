package org.boragebarrow.node.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import org.boragebarrow.decision.dispatch.DispatchEffect;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.DispatchEvent.HeldGrant;
import org.boragebarrow.decision.dispatch.DispatchEvent.Outcome;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.front.Grants;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.target.TargetDirectory;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.wire.GrantMessages;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Asks the zone's dispatcher for grants on behalf of this host's requests. Thread-safe.
 *
 * <p>The dispatcher confirms what it queues. One that stays silent is passed by: the host then chooses a target itself.
 * Grants in use are renewed, which also tells a new dispatcher of them.
 */
public final class GrantBroker implements Grants {
    private static final EventLog LOG = EventLog.of(GrantBroker.class);
    private static final Role DISPATCHER = new Role.Dispatcher();
    private static final long RESUBMIT_MILLIS = 1_000;
    private static final int LOCAL_PRIORITY = 100;

    private final Members members;
    private final DispatchDuty local;
    private final PeerSender peers;
    private final TargetDirectory directory;
    private final LocalChooser chooser;
    private final HostMetrics metrics;
    private final Ticker ticker;
    private final EventLoopGroup timers;
    private final long timeoutMillis;
    private final Map<AttemptId, PendingGrant> pending = new ConcurrentHashMap<>();
    private final Map<AttemptId, Held> held = new ConcurrentHashMap<>();

    /** A grant in use; the zone's dispatcher counts it. */
    private record Held(HeldGrant grant, AvailabilityZoneId zone) {}

    GrantBroker(DispatchContext context, DispatchDuty local, LocalChooser chooser) {
        this.members = context.members();
        this.local = checkNotNull(local);
        this.peers = context.peers();
        this.directory = context.directory();
        this.chooser = checkNotNull(chooser);
        this.metrics = context.metrics();
        this.ticker = context.ticker();
        this.timers = context.timers();
        this.timeoutMillis = context.grantTimeout().toMillis();
    }

    @Override
    public void acquire(GrantRequest request, Executor executor, Listener listener) {
        PendingGrant waiting = new PendingGrant(request, executor, listener, members.zone());
        pending.put(request.attempt(), waiting);
        ask(waiting);
    }

    private void ask(PendingGrant waiting) {
        waiting.asked();
        Optional<Member> dispatcher = members.holder(waiting.zone(), DISPATCHER);
        if (dispatcher.isEmpty()) {
            chooseLocally(waiting);
            return;
        }
        if (dispatcher.get().host().equals(members.self().host())) {
            local.submit(waiting.request());
            return;
        }
        boolean taken = peers.send(dispatcher.get().endpoint(), GrantMessages.submit(waiting.request(), ticker.read()));
        if (!taken) {
            chooseLocally(waiting);
            return;
        }
        HostId asked = dispatcher.get().host();
        timers.next().schedule(() -> checkAnswer(waiting, asked), timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void checkAnswer(PendingGrant waiting, HostId asked) {
        AttemptId attempt = waiting.request().attempt();
        if (pending.get(attempt) != waiting) {
            return;
        }
        if (waiting.isAcknowledged()) {
            timers.next().schedule(() -> askAgain(waiting), RESUBMIT_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        LOG.write(LogEvent.DISPATCHER_SILENT, asked, attempt);
        chooseLocally(waiting);
    }

    private void askAgain(PendingGrant waiting) {
        if (pending.get(waiting.request().attempt()) == waiting) {
            ask(waiting);
        }
    }

    private void chooseLocally(PendingGrant waiting) {
        AttemptId attempt = waiting.request().attempt();
        if (!pending.remove(attempt, waiting)) {
            return;
        }
        metrics.choseLocally();
        Optional<Target> target = chooser.choose(waiting.request());
        if (target.isEmpty()) {
            RequestException refusal = RequestException.of(ErrorKind.NO_TARGET, "no target takes new work here");
            waiting.executor().execute(() -> waiting.listener().onRefused(refusal));
            return;
        }
        deliver(waiting, ImmutableList.of(target.get()), LOCAL_PRIORITY, members.zone());
    }

    private void deliver(PendingGrant waiting, ImmutableList<Target> targets, int priority, AvailabilityZoneId zone) {
        AttemptId attempt = waiting.request().attempt();
        ImmutableList<TargetId> ids = targets.stream().map(Target::id).collect(ImmutableList.toImmutableList());
        held.put(attempt, new Held(new HeldGrant(waiting.request(), ids), zone));
        chooser.started(ids.get(0));
        waiting.executor().execute(() -> waiting.listener().onGranted(targets, priority));
    }

    @Override
    public void withdraw(AttemptId attempt) {
        PendingGrant waiting = pending.remove(attempt);
        Held used = held.remove(attempt);
        if (used != null) {
            chooser.finished(used.grant().targets().get(0));
        }
        AvailabilityZoneId zone = used != null ? used.zone() : waiting != null ? waiting.zone() : members.zone();
        tell(zone, new DispatchEvent.Withdrawn(attempt));
    }

    @Override
    public void finish(AttemptId attempt, Target target, int answerTokens, Outcome outcome) {
        Held used = held.remove(attempt);
        if (used == null) {
            return;
        }
        chooser.finished(target.id());
        tell(used.zone(), new DispatchEvent.Finished(attempt, target.id(), answerTokens, outcome));
    }

    /** Renews all grants in use. */
    void renew() {
        ImmutableListMultimap.Builder<AvailabilityZoneId, HeldGrant> byZone = ImmutableListMultimap.builder();
        held.values().forEach(used -> byZone.put(used.zone(), used.grant()));
        ImmutableListMultimap<AvailabilityZoneId, HeldGrant> grants = byZone.build();
        for (AvailabilityZoneId zone : grants.keySet()) {
            tell(zone, new DispatchEvent.Renewed(members.self(), grants.get(zone)));
        }
    }

    private void tell(AvailabilityZoneId zone, DispatchEvent event) {
        Optional<Member> dispatcher = members.holder(zone, DISPATCHER);
        if (dispatcher.isEmpty()) {
            return;
        }
        if (dispatcher.get().host().equals(members.self().host())) {
            local.offer(event);
            return;
        }
        peers.send(dispatcher.get().endpoint(), DispatchEnvelopes.of(event, ticker.read()));
    }

    /** Takes the confirmation that an attempt waits at the dispatcher of a zone. */
    void onQueued(AttemptId attempt, AvailabilityZoneId zone) {
        PendingGrant waiting = pending.get(attempt);
        if (waiting != null) {
            waiting.acknowledgedBy(zone);
        }
    }

    /** Takes a grant from the dispatcher of a zone; one that nobody waits for is given back. */
    void onGranted(DispatchEffect.Granted granted, AvailabilityZoneId zone) {
        AttemptId attempt = granted.attempt();
        PendingGrant waiting = pending.remove(attempt);
        if (waiting == null) {
            giveBackUnlessHeld(attempt, zone);
            return;
        }
        ImmutableList.Builder<Target> targets = ImmutableList.builder();
        for (TargetId id : granted.targets()) {
            Optional<Target> target = directory.find(id);
            if (target.isEmpty()) {
                tell(zone, new DispatchEvent.Withdrawn(attempt));
                pending.put(attempt, waiting);
                chooseLocally(waiting);
                return;
            }
            targets.add(target.get());
        }
        deliver(waiting, targets.build(), granted.priority(), zone);
    }

    private void giveBackUnlessHeld(AttemptId attempt, AvailabilityZoneId zone) {
        if (!held.containsKey(attempt)) {
            LOG.write(LogEvent.STRAY_MESSAGE, attempt);
            metrics.strayMessage();
            tell(zone, new DispatchEvent.Withdrawn(attempt));
        }
    }

    /** Takes a refusal. */
    void onRefused(DispatchEffect.Refused refused) {
        PendingGrant waiting = pending.remove(refused.attempt());
        if (waiting == null) {
            return;
        }
        RequestException refusal = RequestException.of(refused.kind(), refused.message(), refused.retryAfter());
        waiting.executor().execute(() -> waiting.listener().onRefused(refusal));
    }

    /** Returns the number of attempts that wait for a grant. */
    public int waiting() {
        return pending.size();
    }

    /** Returns the number of grants in use. */
    public int inUse() {
        return held.size();
    }
}
