package org.boragebarrow.node.assign;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.AssignerChoice;
import org.boragebarrow.decision.assign.Assignment;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.decision.quarantine.CrashVerdict;
import org.boragebarrow.decision.quarantine.PartKey;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.decision.returning.SpreadDelays;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.Assignments;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.node.relay.RelayEvent;
import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.node.watch.TableSharing;
import org.boragebarrow.peer.link.PeerIdentity;
import org.boragebarrow.peer.link.PeerKey;
import org.boragebarrow.peer.link.PeerLinks;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Probe;
import org.boragebarrow.peer.wire.AssignMessages;
import org.boragebarrow.port.WatchedTable;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Requests assignments from the host that currently assigns for the region, and serves such requests of other hosts.
 *
 * <p>Confined to the event loop. While no other host is responsive, this host's own assigner decides.
 */
public final class RegionAssignments implements Assignments, AutoCloseable {
    /** Time to wait for the assigner before the request goes to the next one: far longer than any ordinary answer. */
    private static final long ANSWER_TIMEOUT_MILLIS = 200;

    /**
     * Delay of the event loop above which it is logged: half of the time within which a target must be notified that a
     * caller disconnected.
     */
    private static final long LOGGED_DELAY_MILLIS = 250;

    /** Unsent bytes on links to other hosts above which they are logged: a tenth of a second of a link of 14 Mbit/s. */
    private static final long LOGGED_UNSENT_BYTES = 175_000;

    /** Time without a message after which another host's attempts are removed: three of its probe intervals. */
    private static final long HOST_TIMEOUT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(3 * AssignerChoice.PROBE_INTERVAL_MILLIS);

    private final HostRecord self;
    private final int maxStrangers;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Fleet fleet;
    private final DecisionLog log;
    private final AssignDuty duty;
    private final AssignerChoice assignerChoice;
    private final HostDirectory directory;
    private final Map<AttemptId, PendingRequest> pending = new LinkedHashMap<>();
    private final Map<AttemptId, HeldAssignment> heldAssignments = new LinkedHashMap<>();
    private final Map<HostId, Long> requesterLastSeen = new HashMap<>();
    private final ServedHosts served;
    private final Map<HostId, HostIncarnation> incarnations = new HashMap<>();
    private final SignalAnnouncements announcements;
    private final SpreadDelays spreadDelays;
    private Optional<LeavingListener> leavingListener = Optional.empty();
    private ImmutableMap<HostId, HostRecord> hosts = ImmutableMap.of();
    private Optional<PeerLinks> links = Optional.empty();
    private Optional<TableSharing> sharing = Optional.empty();
    private Optional<QuarantineListener> quarantine = Optional.empty();
    private volatile ImmutableMap<TargetId, Double> slowTargets = ImmutableMap.of();
    private HostId assigner;
    private boolean stopping;
    private long probeDueAt;

    /**
     * Starts this host's assigner.
     *
     * @param identity this host's identity and the endpoint at which other hosts reach it
     * @param table the table of the store with the hosts and the key of their links
     */
    public RegionAssignments(
            Identity identity, EventLoop loop, Ticker ticker, Fleet fleet, WatchedTable table, DecisionLog log) {
        this.self = new HostRecord(
                identity.peer().incarnation(), identity.peer().zone(), identity.endpoint(), identity.centicores());
        this.maxStrangers = identity.maxStrangers();
        this.loop = checkNotNull(loop);
        this.ticker = checkNotNull(ticker);
        this.fleet = checkNotNull(fleet);
        this.log = checkNotNull(log);
        this.assigner = self.incarnation().host();
        this.spreadDelays = new SpreadDelays(assigner.hashCode());
        this.assignerChoice = new AssignerChoice(assigner);
        this.duty = new AssignDuty(loop, ticker, this::onEffects, this::onSlowTargets, this::onDutyFailure);
        this.directory = new HostDirectory(self, table, loop, log, new DirectoryListener());
        this.served = new ServedHosts(assigner, HOST_TIMEOUT_NANOS, duty::offerWithRetry);
        this.announcements = new SignalAnnouncements(assigner, ticker, new SignalTransport());
    }

    /**
     * The identity of this host and the endpoint at which other hosts reach it.
     *
     * @param centicores the host's processor in hundredths of a core
     * @param maxStrangers the maximum number of connections of hosts that have not proved their identity yet
     */
    public record Identity(PeerIdentity peer, Endpoint endpoint, int centicores, int maxStrangers) {}

    /** Returns the listener for the table of hosts. */
    public TableFollower.Listener directory() {
        return directory;
    }

    /** Returns the number of registered hosts, at least 1. */
    public int hostCount() {
        return Math.max(1, hosts.size());
    }

    /** Returns the host from which this host requests targets. */
    public HostId assigner() {
        return assigner;
    }

    @Override
    public void submit(Work work, DecisionListener listener) {
        HostId host = refreshAssigner();
        PendingRequest request = new PendingRequest(work, listener, ticker.read());
        pending.put(work.id(), request);
        requestAssignment(request, host);
    }

    private void requestAssignment(PendingRequest request, HostId host) {
        request.stopTimer();
        Work work = request.workAt(ticker.read());
        if (host.equals(self.incarnation().host())) {
            if (!duty.offer(new AssignEvent.Submitted(work))) {
                applyDecision(refuseWithoutDecision(work));
            }
            return;
        }
        request.startTimer(
                loop.schedule(() -> onAnswerTimeout(request, host), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        send(host, AssignMessages.assignmentRequest(work));
    }

    /** Refuses work because the assigner's ring is full. */
    private AssignEffect.Refused refuseWithoutDecision(Work work) {
        return new AssignEffect.Refused(work.id(), RefusalReason.OVERLOADED, spreadDelays.next(work.remaining()));
    }

    private void onAnswerTimeout(PendingRequest request, HostId host) {
        if (pending.get(request.work().id()) != request) {
            return;
        }
        log.write(
                RelayEvent.ASSIGNER,
                "host",
                host,
                "state",
                "silent",
                "attempt",
                request.work().id());
        assignerChoice.recordTimeout(host);
        links.ifPresent(peerLinks ->
                Optional.ofNullable(hosts.get(host)).ifPresent(record -> peerLinks.closeLink(record.endpoint())));
        send(host, AssignMessages.ended(request.work().id(), Outcome.WITHDRAWN));
        HostId next = refreshAssigner();
        if (pending.get(request.work().id()) == request && request.isTimerDone()) {
            requestAssignment(request, next);
        }
    }

    /**
     * Selects the assigner again. A new one receives all assignments that this host holds and the requests that are
     * still pending; both are withdrawn from the previous one.
     */
    private HostId refreshAssigner() {
        HostId selected = assignerChoice.select(ticker.read());
        if (selected.equals(assigner)) {
            return assigner;
        }
        log.write(RelayEvent.ASSIGNER, "host", selected, "before", assigner, "held", heldAssignments.size());
        HostId previous = assigner;
        assigner = selected;
        long now = ticker.read();
        // Queued work goes first, so that the previous assigner does not assign it to the targets of the held work.
        pending.keySet().forEach(id -> withdrawFrom(previous, id));
        for (HeldAssignment held : heldAssignments.values()) {
            withdrawFrom(previous, held.id());
            deliver(selected, AssignMessages.assignmentReport(held.toEvent(now)), held.toEvent(now));
        }
        announcements.repeatTo(selected);
        for (PendingRequest request : ImmutableList.copyOf(pending.values())) {
            requestAssignment(request, selected);
        }
        return assigner;
    }

    private void withdrawFrom(HostId host, AttemptId id) {
        deliver(host, AssignMessages.ended(id, Outcome.WITHDRAWN), new AssignEvent.Ended(id, Outcome.WITHDRAWN));
    }

    private void deliver(HostId host, Envelope message, AssignEvent event) {
        if (host.equals(self.incarnation().host())) {
            duty.offerWithRetry(event);
        } else {
            send(host, message);
        }
    }

    /** Sets the tables whose changes the hosts of the zone send to one another over this host's links. */
    public void setTableSharing(TableSharing tables) {
        sharing = Optional.of(tables);
    }

    /** Sets what receives this host's conclusions about crashes and other hosts' entries of the quarantine. */
    public void setQuarantineListener(QuarantineListener listener) {
        quarantine = Optional.of(listener);
    }

    /** Receives the announcements of other hosts, on the event loop. */
    public interface LeavingListener {
        /** Receives that a target said in an answer to another host that it is leaving. */
        void onAnnouncedLeaving(TargetIncarnation target);
    }

    /** Sets what receives other hosts' announcements that targets are leaving. */
    public void setLeavingListener(LeavingListener listener) {
        leavingListener = Optional.of(listener);
    }

    /** Tells the assigner and the hosts of this host's zone that a target said in an answer to this host that it is leaving. */
    public void announceLeaving(TargetIncarnation target) {
        ImmutableSet<HostId> zone = hosts.values().stream()
                .filter(host -> host.zone().equals(self.zone()))
                .map(host -> host.incarnation().host())
                .collect(ImmutableSet.toImmutableSet());
        announcements.announceLeaving(target, refreshAssigner(), zone);
    }

    /** Tells the assigner that a target wants no requests of this host for a time. */
    public void announceQuiet(TargetIncarnation target, Duration time) {
        announcements.announceQuiet(target, time, refreshAssigner());
    }

    /** Receives what concerns the quarantine, on the event loop. */
    public interface QuarantineListener {
        /** Receives a conclusion of this host's assigner. */
        void onVerdict(CrashVerdict verdict);

        /** Receives an entry that another host announced. */
        void onAnnounced(QuarantineEntry entry);
    }

    /**
     * Passes the assignment for the region on: other hosts, and this one, request targets from the next live host from
     * now on, with the work that is queued here. If no other host is alive, this host continues to assign its own work.
     */
    public void stopAssigning() {
        stopping = true;
        assignerChoice.recordStopping(self.incarnation().host());
        sendToAll(AssignMessages.probe(true, true));
        refreshAssigner();
    }

    /** Replaces the parts of prompts to which the assigner assigns no targets. */
    public void setQuarantine(ImmutableSet<PartKey> quarantined, ImmutableSet<PartKey> onProbation) {
        duty.offerWithRetry(new AssignEvent.QuarantineChanged(quarantined, onProbation));
    }

    /** Sends a message to all other hosts that are known. */
    public void sendToAll(Envelope message) {
        for (HostId host : hosts.keySet()) {
            if (!host.equals(self.incarnation().host())) {
                send(host, message);
            }
        }
    }

    /** Sends a message to a host; drops it if the host is unknown or the links have not started. */
    public void send(HostId host, Envelope message) {
        HostRecord record = hosts.get(host);
        if (record != null) {
            links.ifPresent(peerLinks -> peerLinks.send(record.endpoint(), message));
        }
    }

    private void onEffects(ImmutableList<AssignEffect> effects) {
        for (AssignEffect effect : effects) {
            switch (effect) {
                case AssignEffect.Concluded concluded ->
                    quarantine.ifPresent(listener -> listener.onVerdict(concluded.verdict()));
                case AssignEffect.ForAttempt forAttempt -> route(forAttempt);
            }
        }
    }

    private void route(AssignEffect.ForAttempt effect) {
        HostId owner = effect.id().owner().host();
        if (!owner.equals(self.incarnation().host())) {
            send(owner, AssignMessages.effect(effect));
            return;
        }
        switch (effect) {
            case AssignEffect.Decided decided -> applyDecision(decided);
            case AssignEffect.PauseExpected expected -> onPauseExpected(expected);
            case AssignEffect.Queued ignored -> {}
        }
    }

    private void onPauseExpected(AssignEffect.PauseExpected expected) {
        HeldAssignment held = heldAssignments.get(expected.id());
        if (held != null) {
            held.listener().onPauseExpected(expected);
        }
    }

    private void applyDecision(AssignEffect.Decided decided) {
        PendingRequest request = pending.remove(decided.id());
        if (request == null) {
            if (decided instanceof AssignEffect.Assigned) {
                reportEnd(decided.id(), Outcome.WITHDRAWN);
            }
            return;
        }
        request.stopTimer();
        if (decided instanceof AssignEffect.Assigned assigned) {
            heldAssignments.put(decided.id(), new HeldAssignment(request, assigned.assignment()));
        }
        request.listener().onDecided(decided);
    }

    private void onAssigned(AssignMessages.Assigned message) {
        Optional<FleetTarget> target = fleet.find(message.target());
        if (target.isEmpty()) {
            // This host has not read the target's entry yet, or has already read its removal.
            withdrawFrom(assigner, message.id());
            requestWithout(message.id(), message.target());
            return;
        }
        ImmutableList<HelperTarget> helpers = message.helpers().stream()
                .flatMap(ref ->
                        fleet.find(ref.target()).stream().map(found -> new HelperTarget(found, ref.storedTokens())))
                .collect(ImmutableList.toImmutableList());
        applyDecision(new AssignEffect.Assigned(
                message.id(),
                new Assignment(target.get(), helpers, message.predictedTimeToFirstEvent(), message.lateAfter())));
    }

    /** Requests another target for a request that has no decision yet; each target is excluded once at most. */
    private void requestWithout(AttemptId id, TargetId unknown) {
        HostId host = refreshAssigner();
        PendingRequest request = pending.get(id);
        if (request == null) {
            return;
        }
        request.stopTimer();
        PendingRequest next = request.excluding(unknown);
        pending.put(id, next);
        requestAssignment(next, host);
    }

    @Override
    public void reportRefusedConnection(FleetTarget target) {
        TargetIncarnation incarnation = target.incarnation();
        deliver(
                refreshAssigner(),
                AssignMessages.connectionRefused(incarnation),
                new AssignEvent.ConnectionRefused(incarnation));
    }

    @Override
    public void reportFirstEvent(AttemptId id) {
        HeldAssignment held = heldAssignments.get(id);
        if (held != null) {
            held.onFirstEvent();
        }
        deliver(assigner, AssignMessages.progress(id), new AssignEvent.FirstEventSeen(id));
    }

    @Override
    public void reportEnd(AttemptId id, Outcome outcome) {
        PendingRequest request = pending.remove(id);
        if (request != null) {
            request.stopTimer();
        }
        heldAssignments.remove(id);
        deliver(assigner, AssignMessages.ended(id, outcome), new AssignEvent.Ended(id, outcome));
    }

    /** Replaces the targets of the assigner. */
    public void setFleet(ImmutableList<FleetTarget> targets) {
        duty.offerWithRetry(new AssignEvent.FleetChanged(targets));
    }

    /** Changes which targets the assigner's work may use. */
    public void setPermissions(AssignEvent.PermissionsChanged changed) {
        duty.offerWithRetry(changed);
    }

    /** Replaces the copies of slow requests that may be sent for each request. */
    public void setDuplicateShare(double share) {
        duty.offerWithRetry(new AssignEvent.DuplicateShareChanged(share));
    }

    /** Returns whether the hosts that share the retry quota have been read. */
    public boolean areHostsKnown() {
        return !hosts.isEmpty();
    }

    /** Replaces the speeds of engines that the assigner uses. */
    public void setProfiles(ImmutableMap<ServiceName, EngineProfile> profiles) {
        duty.offerWithRetry(new AssignEvent.ProfilesChanged(profiles));
    }

    /** Returns the attempts that wait for a target at this host's assigner. */
    public int queuedCount() {
        return duty.queuedCount();
    }

    /** Returns the targets that this host's assigner takes for slow. */
    public int slowTargetCount() {
        return slowTargets.size();
    }

    private void onSlowTargets(ImmutableMap<TargetId, Double> slow) {
        for (TargetId target : Sets.symmetricDifference(slow.keySet(), slowTargets.keySet())) {
            log.write(RelayEvent.TARGET_PACE, "target", target, "slowness", slow.getOrDefault(target, 1.0));
        }
        slowTargets = slow;
    }

    private void onDutyFailure(String name, Throwable failure) {
        log.write(RelayEvent.UNUSABLE, "duty", name, "reason", failure.toString());
    }

    private void probe() {
        long now = ticker.read();
        logIfBusy(now);
        for (HostId host : assignerChoice.hostsToProbe(now)) {
            send(host, AssignMessages.probe(false, stopping));
        }
        refreshAssigner();
        served.update(hosts.keySet(), now);
        Iterator<Map.Entry<HostId, Long>> entries = requesterLastSeen.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<HostId, Long> entry = entries.next();
            if (now - entry.getValue() > HOST_TIMEOUT_NANOS) {
                entries.remove();
                log.write(RelayEvent.PEER, "host", entry.getKey(), "state", "silent");
                duty.offerWithRetry(new AssignEvent.HostLost(entry.getKey()));
            }
        }
        probeDueAt = now + TimeUnit.MILLISECONDS.toNanos(AssignerChoice.PROBE_INTERVAL_MILLIS);
        loop.schedule(this::probe, AssignerChoice.PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void logIfBusy(long now) {
        long delayMillis = probeDueAt == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(now - probeDueAt);
        long unsentBytes = links.map(PeerLinks::unsentBytes).orElse(0L);
        if (delayMillis > LOGGED_DELAY_MILLIS || unsentBytes > LOGGED_UNSENT_BYTES) {
            log.write(
                    RelayEvent.BUSY,
                    "late_ms",
                    delayMillis,
                    "waiting_bytes",
                    unsentBytes,
                    "held",
                    heldAssignments.size());
        }
    }

    @Override
    public void close() {
        duty.close();
        links.ifPresent(PeerLinks::close);
    }

    private final class DirectoryListener implements HostDirectory.Listener {
        private Optional<PeerKey> latestKey = Optional.empty();

        @Override
        public void onKey(PeerKey key) {
            boolean starting = latestKey.isPresent();
            latestKey = Optional.of(key);
            links.ifPresent(open -> open.setKey(key));
            if (starting) {
                return;
            }
            PeerIdentity identity = new PeerIdentity(self.incarnation(), self.zone());
            // Binding blocks until the event loop has run it, so it must not be called on the event loop.
            CompletableFuture.supplyAsync(() -> PeerLinks.start(
                            identity,
                            key,
                            new AssignMessageHandler(new MessageSink(), log),
                            loop,
                            self.endpoint(),
                            maxStrangers))
                    .whenComplete((started, failure) -> loop.execute(() -> onStarted(started, failure)));
        }

        private void onStarted(PeerLinks started, Throwable failure) {
            if (failure != null) {
                log.write(RelayEvent.LOST, "dependency", "peers", "at", self.endpoint(), "reason", failure.toString());
                return;
            }
            started.setKey(latestKey.orElseThrow());
            links = Optional.of(started);
            probe();
        }

        @Override
        public void onHosts(ImmutableMap<HostId, HostRecord> records) {
            hosts = records;
            assignerChoice.setHosts(sized(records.values().stream()));
            sharing.ifPresent(tables -> tables.setHosts(hostsOfOwnZone()));
            for (HostId host : assignerChoice.hostsToProbe(ticker.read())) {
                send(host, AssignMessages.probe(false, stopping));
            }
        }
    }

    private ImmutableList<SizedHost> hostsOfOwnZone() {
        return sized(hosts.values().stream().filter(host -> host.zone().equals(self.zone())));
    }

    private static ImmutableList<SizedHost> sized(Stream<HostRecord> records) {
        return records.map(host -> new SizedHost(host.incarnation().host(), host.centicores()))
                .collect(ImmutableList.toImmutableList());
    }

    private final class SignalTransport implements SignalAnnouncements.Transport {
        @Override
        public void send(HostId host, Envelope message) {
            RegionAssignments.this.send(host, message);
        }

        @Override
        public void deliverToOwnAssigner(AssignEvent event) {
            duty.offerWithRetry(event);
        }
    }

    /** Applies the messages of other hosts. */
    private final class MessageSink implements AssignMessageHandler.Sink {
        @Override
        public void onAlive(HostIncarnation from) {
            HostId host = from.host();
            HostIncarnation known = incarnations.put(host, from);
            if (known != null && !known.equals(from)) {
                duty.offerWithRetry(new AssignEvent.HostLost(host));
                assignerChoice.recordRestart(host);
            }
            assignerChoice.recordResponse(host, ticker.read());
        }

        @Override
        public void onRequested(HostId host, Work work) {
            requesterLastSeen.put(host, ticker.read());
            served.recordContact(host, ticker.read());
            if (!duty.offer(new AssignEvent.Submitted(work))) {
                onEffects(ImmutableList.of(refuseWithoutDecision(work)));
            }
        }

        @Override
        public void onReported(HostId host, AssignEvent.AssignmentReported reported) {
            requesterLastSeen.put(host, ticker.read());
            duty.offerWithRetry(reported);
        }

        @Override
        public void onEvent(AssignEvent event) {
            duty.offerWithRetry(event);
        }

        @Override
        public void onLeaving(TargetIncarnation target) {
            leavingListener.ifPresent(listener -> listener.onAnnouncedLeaving(target));
        }

        @Override
        public void onQueued(AttemptId id) {
            Optional.ofNullable(pending.get(id)).ifPresent(PendingRequest::stopTimer);
        }

        @Override
        public void onAssigned(AssignMessages.Assigned message) {
            RegionAssignments.this.onAssigned(message);
        }

        @Override
        public void onRefused(AssignEffect.Refused refused) {
            applyDecision(refused);
        }

        @Override
        public void onPauseExpected(AssignEffect.PauseExpected expected) {
            RegionAssignments.this.onPauseExpected(expected);
        }

        @Override
        public void onQuarantineEntry(QuarantineEntry entry) {
            quarantine.ifPresent(listener -> listener.onAnnounced(entry));
        }

        @Override
        public void onProbe(HostId host, Probe probe) {
            requesterLastSeen.computeIfPresent(host, (id, lastSeen) -> ticker.read());
            if (!probe.getAnswer()) {
                served.recordContact(host, ticker.read());
                send(host, AssignMessages.probe(true, stopping));
            }
            if (probe.getStopping()) {
                assignerChoice.recordStopping(host);
                refreshAssigner();
            }
        }

        @Override
        public boolean onTableMessage(HostId host, Envelope message) {
            return sharing.map(tables -> tables.receive(host, message)).orElse(false);
        }
    }
}
