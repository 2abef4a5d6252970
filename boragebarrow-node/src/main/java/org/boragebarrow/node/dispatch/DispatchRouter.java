package org.boragebarrow.node.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.dispatch.DispatchEffect;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.Dispatcher;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.ZoneSummary;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.observe.TargetStatus;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.TargetReport;
import org.boragebarrow.peer.wire.GrantMessages;
import org.boragebarrow.peer.wire.ReportMessages;
import org.boragebarrow.port.EngineControl.CacheEvents;
import org.boragebarrow.port.EngineControl.LoadReport;

import static com.google.common.base.Preconditions.checkNotNull;

/** Routes messages and decisions between this host's broker and dispatcher and those of its peers. */
public final class DispatchRouter implements DispatchDuty.DecisionListener, AutoCloseable {
    private static final Role DISPATCHER = new Role.Dispatcher();
    private static final long IDLE_TICK_DIVISOR = 12;

    private final Members members;
    private final PeerSender peers;
    private final Ticker ticker;
    private final Consumer<ZoneSummary> summaries;
    private final DispatchDuty duty;
    private final Set<TargetId> reported = ConcurrentHashMap.newKeySet();

    private volatile ImmutableSet<TargetId> listed = ImmutableSet.of();
    private long ticks;
    private final GrantBroker broker;

    /** Starts the dispatcher and its broker. */
    public DispatchRouter(
            DispatchContext context, Dispatcher dispatcher, Consumer<ZoneSummary> summaries, DutyRing.Factory rings) {
        this.members = context.members();
        this.peers = context.peers();
        this.ticker = context.ticker();
        this.summaries = checkNotNull(summaries);
        LocalChooser chooser = new LocalChooser(
                members.zone(), context.directory(), context.configuration(), ThreadLocalRandom::current);
        this.duty = new DispatchDuty(dispatcher, this, ticker, rings);
        this.broker = new GrantBroker(context, duty, chooser);
    }

    /** Returns the broker for this host's requests. */
    public GrantBroker broker() {
        return broker;
    }

    /** Returns the duty that runs this host's dispatcher. */
    public DispatchDuty duty() {
        return duty;
    }

    /**
     * Advances the dispatcher's clock; called every few milliseconds.
     *
     * <p>Only the zone's dispatcher needs this resolution; on other hosts, most ticks are skipped.
     */
    public void tick() {
        ticks++;
        if (members.holds(DISPATCHER) || ticks % IDLE_TICK_DIVISOR == 0) {
            duty.offer(new DispatchEvent.Ticked());
        }
    }

    /** Renews the grants in use. */
    public void renew() {
        broker.renew();
    }

    /** Returns the listed targets whose load has been reported to this host's dispatcher. */
    public ImmutableSet<TargetId> reportedTargets() {
        return ImmutableSet.copyOf(reported);
    }

    /** Replaces the list of the zone's targets. */
    public void setTargets(ImmutableList<Target> targets) {
        listed = targets.stream().map(Target::id).collect(ImmutableSet.toImmutableSet());
        reported.retainAll(listed);
        duty.offer(new DispatchEvent.TargetsListed(targets));
    }

    /** Handles a change of the status of a target, which is aggregated from the reports of its observers. */
    public void onStatusChanged(TargetId target, TargetStatus status) {
        duty.offer(new DispatchEvent.ReachabilityChanged(target, status.reachable() && status.accepting()));
    }

    /** Reports an engine's load and cache events, as polled by this host, to the zone's dispatcher. */
    public void report(TargetId target, LoadReport load, Optional<CacheEvents> cache) {
        Optional<Member> dispatcher = members.holder(members.zone(), DISPATCHER);
        if (dispatcher.isEmpty()) {
            return;
        }
        Envelope report = ReportMessages.report(target, load, cache);
        if (dispatcher.get().host().equals(members.self().host())) {
            onReport(report.getTargetReport());
            return;
        }
        peers.send(dispatcher.get().endpoint(), report);
    }

    /**
     * Handles a peer's message if it concerns dispatching.
     *
     * @return whether the message was handled
     * @throws IllegalArgumentException if the message is malformed
     */
    public boolean onMessage(HostIncarnation from, Envelope message) {
        long now = ticker.read();
        switch (message.getBodyCase()) {
            case SUBMIT_GRANT -> duty.submit(GrantMessages.fromSubmit(message.getSubmitGrant(), now));
            case WITHDRAW_GRANT ->
                duty.offer(new DispatchEvent.Withdrawn(
                        GrantMessages.fromAttempt(message.getWithdrawGrant().getAttempt())));
            case RENEW_GRANTS -> duty.offer(GrantMessages.fromRenew(from, message.getRenewGrants(), now));
            case FINISH_GRANT -> duty.offer(GrantMessages.fromFinish(message.getFinishGrant()));
            case TARGET_REPORT -> onReport(message.getTargetReport());
            case GRANT_QUEUED ->
                members.find(from.host())
                        .ifPresent(dispatcher -> broker.onQueued(
                                GrantMessages.fromAttempt(
                                        message.getGrantQueued().getAttempt()),
                                dispatcher.zone()));
            case GRANT_GIVEN ->
                members.find(from.host())
                        .ifPresent(dispatcher -> broker.onGranted(
                                GrantMessages.fromGranted(message.getGrantGiven()), dispatcher.zone()));
            case GRANT_REFUSED -> broker.onRefused(GrantMessages.fromRefused(message.getGrantRefused()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onReport(TargetReport report) {
        TargetId target = TargetId.of(report.getTarget());
        if (listed.contains(target)) {
            reported.add(target);
        }
        duty.offer(new DispatchEvent.LoadReported(target, ReportMessages.fromLoad(report.getLoad())));
        if (report.hasCache()) {
            duty.offer(new DispatchEvent.CacheReported(target, ReportMessages.fromCache(report.getCache())));
        }
    }

    @Override
    public void onGranted(DispatchEffect.Granted granted) {
        if (isOwn(granted.attempt())) {
            broker.onGranted(granted, members.zone());
            return;
        }
        sendToOwner(granted.attempt(), GrantMessages.granted(granted));
    }

    @Override
    public void onRefused(DispatchEffect.Refused refused) {
        if (isOwn(refused.attempt())) {
            broker.onRefused(refused);
            return;
        }
        sendToOwner(refused.attempt(), GrantMessages.refused(refused));
    }

    @Override
    public void onQueued(AttemptId attempt) {
        if (isOwn(attempt)) {
            broker.onQueued(attempt, members.zone());
            return;
        }
        sendToOwner(attempt, GrantMessages.queued(attempt));
    }

    @Override
    public void onSpilled(DispatchEffect.Spilled spilled, GrantRequest request) {
        GrantRequest spilledRequest = new GrantRequest(
                request.attempt(),
                request.organisation(),
                request.work(),
                request.deadlineNanos(),
                request.excluded(),
                true);
        members.holder(spilled.zone(), DISPATCHER)
                .ifPresent(dispatcher ->
                        peers.send(dispatcher.endpoint(), GrantMessages.submit(spilledRequest, ticker.read())));
    }

    @Override
    public void onSummary(ZoneSummary summary) {
        if (members.holds(DISPATCHER)) {
            summaries.accept(summary);
        }
    }

    private boolean isOwn(AttemptId attempt) {
        return attempt.owner().host().equals(members.self().host());
    }

    private void sendToOwner(AttemptId attempt, Envelope message) {
        HostId owner = attempt.owner().host();
        members.find(owner).ifPresent(front -> peers.send(front.endpoint(), message));
    }

    @Override
    public void close() {
        duty.close();
    }
}
