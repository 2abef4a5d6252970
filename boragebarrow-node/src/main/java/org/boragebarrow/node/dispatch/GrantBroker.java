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
 * Requests grants from the zone's dispatcher for the attempts of this host.
 *
 * <p>Thread-safe. The dispatcher acknowledges the attempts that it queues. If it does not answer within the grant
 * timeout, this host chooses a target itself. Grants in use are renewed, which also reports them to a new dispatcher.
 */
public final class GrantBroker implements Grants {
    private static final EventLog LOG = EventLog.of(GrantBroker.class);
    private static final Role DISPATCHER = new Role.Dispatcher();
    private static final long RESUBMIT_INTERVAL_MILLIS = 1_000;
    private static final int LOCAL_PRIORITY = 100;

    private final Members members;
    private final DispatchDuty localDispatcher;
    private final PeerSender peers;
    private final TargetDirectory directory;
    private final LocalChooser chooser;
    private final HostMetrics metrics;
    private final Ticker ticker;
    private final EventLoopGroup timers;
    private final long timeoutMillis;
    private final Map<AttemptId, PendingGrant> pending = new ConcurrentHashMap<>();
    private final Map<AttemptId, ActiveGrant> activeGrants = new ConcurrentHashMap<>();

    /** A grant in use, which is counted by the dispatcher of the zone. */
    private record ActiveGrant(HeldGrant grant, AvailabilityZoneId zone) {}

    GrantBroker(DispatchContext context, DispatchDuty localDispatcher, LocalChooser chooser) {
        this.members = context.members();
        this.localDispatcher = checkNotNull(localDispatcher);
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
        PendingGrant pendingGrant = new PendingGrant(request, executor, listener, members.zone());
        pending.put(request.attempt(), pendingGrant);
        submit(pendingGrant);
    }

    private void submit(PendingGrant pendingGrant) {
        pendingGrant.resetAcknowledged();
        Optional<Member> dispatcher = members.holder(pendingGrant.zone(), DISPATCHER);
        if (dispatcher.isEmpty()) {
            chooseLocally(pendingGrant);
            return;
        }
        if (dispatcher.get().host().equals(members.self().host())) {
            localDispatcher.submit(pendingGrant.request());
            return;
        }
        boolean sent =
                peers.send(dispatcher.get().endpoint(), GrantMessages.submit(pendingGrant.request(), ticker.read()));
        if (!sent) {
            chooseLocally(pendingGrant);
            return;
        }
        HostId host = dispatcher.get().host();
        timers.next().schedule(() -> checkAcknowledged(pendingGrant, host), timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void checkAcknowledged(PendingGrant pendingGrant, HostId host) {
        AttemptId attempt = pendingGrant.request().attempt();
        if (pending.get(attempt) != pendingGrant) {
            return;
        }
        if (pendingGrant.isAcknowledged()) {
            timers.next().schedule(() -> resubmit(pendingGrant), RESUBMIT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        LOG.write(LogEvent.DISPATCHER_SILENT, host, attempt);
        chooseLocally(pendingGrant);
    }

    private void resubmit(PendingGrant pendingGrant) {
        if (pending.get(pendingGrant.request().attempt()) == pendingGrant) {
            submit(pendingGrant);
        }
    }

    private void chooseLocally(PendingGrant pendingGrant) {
        AttemptId attempt = pendingGrant.request().attempt();
        if (!pending.remove(attempt, pendingGrant)) {
            return;
        }
        metrics.choseTargetLocally();
        Optional<Target> target = chooser.choose(pendingGrant.request());
        if (target.isEmpty()) {
            RequestException refusal =
                    RequestException.of(ErrorKind.NO_TARGET, "no target in this zone accepts new requests");
            pendingGrant.executor().execute(() -> pendingGrant.listener().onRefused(refusal));
            return;
        }
        deliver(pendingGrant, ImmutableList.of(target.get()), LOCAL_PRIORITY, members.zone());
    }

    private void deliver(
            PendingGrant pendingGrant, ImmutableList<Target> targets, int priority, AvailabilityZoneId zone) {
        AttemptId attempt = pendingGrant.request().attempt();
        ImmutableList<TargetId> ids = targets.stream().map(Target::id).collect(ImmutableList.toImmutableList());
        activeGrants.put(attempt, new ActiveGrant(new HeldGrant(pendingGrant.request(), ids), zone));
        chooser.started(ids.get(0));
        pendingGrant.executor().execute(() -> pendingGrant.listener().onGranted(targets, priority));
    }

    @Override
    public void withdraw(AttemptId attempt) {
        PendingGrant pendingGrant = pending.remove(attempt);
        ActiveGrant activeGrant = activeGrants.remove(attempt);
        if (activeGrant != null) {
            chooser.finished(activeGrant.grant().targets().get(0));
        }
        AvailabilityZoneId zone =
                activeGrant != null ? activeGrant.zone() : pendingGrant != null ? pendingGrant.zone() : members.zone();
        notifyDispatcher(zone, new DispatchEvent.Withdrawn(attempt));
    }

    @Override
    public void finish(AttemptId attempt, Target target, int answerTokens, Outcome outcome) {
        ActiveGrant activeGrant = activeGrants.remove(attempt);
        if (activeGrant == null) {
            return;
        }
        chooser.finished(target.id());
        notifyDispatcher(activeGrant.zone(), new DispatchEvent.Finished(attempt, target.id(), answerTokens, outcome));
    }

    /** Sends a renewal of all grants in use to the dispatchers of their zones. */
    void renew() {
        ImmutableListMultimap.Builder<AvailabilityZoneId, HeldGrant> byZone = ImmutableListMultimap.builder();
        activeGrants.values().forEach(activeGrant -> byZone.put(activeGrant.zone(), activeGrant.grant()));
        ImmutableListMultimap<AvailabilityZoneId, HeldGrant> grants = byZone.build();
        for (AvailabilityZoneId zone : grants.keySet()) {
            notifyDispatcher(zone, new DispatchEvent.Renewed(members.self(), grants.get(zone)));
        }
    }

    private void notifyDispatcher(AvailabilityZoneId zone, DispatchEvent event) {
        Optional<Member> dispatcher = members.holder(zone, DISPATCHER);
        if (dispatcher.isEmpty()) {
            return;
        }
        if (dispatcher.get().host().equals(members.self().host())) {
            localDispatcher.offer(event);
            return;
        }
        peers.send(dispatcher.get().endpoint(), DispatchEnvelopes.of(event, ticker.read()));
    }

    /** Handles the acknowledgement that the dispatcher of a zone has queued an attempt. */
    void onQueued(AttemptId attempt, AvailabilityZoneId zone) {
        PendingGrant pendingGrant = pending.get(attempt);
        if (pendingGrant != null) {
            pendingGrant.recordAcknowledgement(zone);
        }
    }

    /** Handles a grant from the dispatcher of a zone; withdraws one whose attempt is neither pending nor active. */
    void onGranted(DispatchEffect.Granted granted, AvailabilityZoneId zone) {
        AttemptId attempt = granted.attempt();
        PendingGrant pendingGrant = pending.remove(attempt);
        if (pendingGrant == null) {
            withdrawUnlessActive(attempt, zone);
            return;
        }
        ImmutableList.Builder<Target> targets = ImmutableList.builder();
        for (TargetId id : granted.targets()) {
            Optional<Target> target = directory.find(id);
            if (target.isEmpty()) {
                notifyDispatcher(zone, new DispatchEvent.Withdrawn(attempt));
                pending.put(attempt, pendingGrant);
                chooseLocally(pendingGrant);
                return;
            }
            targets.add(target.get());
        }
        deliver(pendingGrant, targets.build(), granted.priority(), zone);
    }

    private void withdrawUnlessActive(AttemptId attempt, AvailabilityZoneId zone) {
        if (!activeGrants.containsKey(attempt)) {
            LOG.write(LogEvent.STRAY_MESSAGE, attempt);
            metrics.strayMessage();
            notifyDispatcher(zone, new DispatchEvent.Withdrawn(attempt));
        }
    }

    /** Handles a refusal; ignores one whose attempt is not pending. */
    void onRefused(DispatchEffect.Refused refused) {
        PendingGrant pendingGrant = pending.remove(refused.attempt());
        if (pendingGrant == null) {
            return;
        }
        RequestException refusal = RequestException.of(refused.kind(), refused.message(), refused.retryAfter());
        pendingGrant.executor().execute(() -> pendingGrant.listener().onRefused(refusal));
    }

    /** Returns the number of attempts without a grant. */
    public int pendingCount() {
        return pending.size();
    }

    /** Returns the number of grants in use. */
    public int activeCount() {
        return activeGrants.size();
    }
}
