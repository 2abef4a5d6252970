package org.boragebarrow.node.target;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.observe.ObserveEffect;
import org.boragebarrow.decision.observe.ObserveEvent;
import org.boragebarrow.decision.observe.Observer;
import org.boragebarrow.decision.observe.TargetStatus;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.node.dispatch.DispatchRouter;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.ReportMessages;
import org.boragebarrow.port.EngineControl;
import org.boragebarrow.port.EngineControl.CacheEvents;
import org.boragebarrow.port.EngineControl.LoadReport;

import static com.google.common.base.Preconditions.checkNotNull;

/** Runs {@link Observer} on a dedicated thread: polls targets, cancels orphans at engines and reports loads. */
public final class ObserveDuty implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ObserveDuty.class);
    private static final long REPORT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final Collaborators context;
    private final Observer observer;
    private final DispatchRouter dispatchRouter;
    private final DutyRing<ObserveEvent> ring;
    private final Map<TargetId, Long> nextCacheEvent = new ConcurrentHashMap<>();
    private final Map<TargetId, LastReport> lastReports = new ConcurrentHashMap<>();

    /** The collaborators of the duty. */
    public record Collaborators(
            Members members,
            TargetDirectory directory,
            EngineControl control,
            ConnectProbe probe,
            PeerSender peers,
            Ticker ticker) {}

    /** Time of an engine's last report, and whether it accepted new requests then. */
    private record LastReport(long reportedNanos, boolean accepting) {}

    /** Starts the duty. */
    public ObserveDuty(
            Collaborators context, Observer observer, DispatchRouter dispatchRouter, DutyRing.Factory rings) {
        this.context = checkNotNull(context);
        this.observer = checkNotNull(observer);
        this.dispatchRouter = checkNotNull(dispatchRouter);
        this.ring = rings.start("observe", this::handle);
    }

    /** Queues an event; if the ring is full it is dropped, and the next poll or listing compensates for it. */
    public void offer(ObserveEvent event) {
        ring.offer(event);
    }

    private void handle(ObserveEvent event) {
        for (ObserveEffect effect : observer.apply(event, context.ticker().read())) {
            handle(effect);
        }
    }

    private void handle(ObserveEffect effect) {
        switch (effect) {
            case ObserveEffect.Poll poll -> withTarget(poll.target(), target -> poll(target, poll.number()));
            case ObserveEffect.ListHoldings list -> withTarget(list.target(), this::listHoldings);
            case ObserveEffect.CancelSequence cancel ->
                withTarget(cancel.target(), engine -> {
                    LOG.write(LogEvent.ORPHAN_CANCELLED, "sequence " + cancel.attempt(), engine.id());
                    context.control().cancel(engine, cancel.attempt());
                });
            case ObserveEffect.ReleaseReservation release ->
                withTarget(release.target(), engine -> {
                    LOG.write(LogEvent.ORPHAN_CANCELLED, "reservation " + release.attempt(), engine.id());
                    context.control().release(engine, release.attempt());
                });
            case ObserveEffect.DeleteExport delete ->
                withTarget(delete.target(), engine -> {
                    LOG.write(LogEvent.ORPHAN_CANCELLED, "export " + delete.export(), engine.id());
                    context.control().deleteExport(engine, delete.export());
                });
            case ObserveEffect.ShareStatuses share -> shareStatuses(share.statuses());
            case ObserveEffect.TargetChanged changed -> onTargetChanged(changed.target(), changed.status());
        }
    }

    private void withTarget(TargetId id, Consumer<Target> action) {
        context.directory().find(id).ifPresent(action);
    }

    private void poll(Target target, long poll) {
        if (target.kind() == TargetKind.SERVICE) {
            context.probe()
                    .probe(target.endpoint())
                    .whenComplete((done, failure) -> ring.offer(
                            failure == null
                                    ? new ObserveEvent.PollAnswered(target.id(), poll, true)
                                    : new ObserveEvent.PollFailed(target.id(), poll)));
            return;
        }
        context.control().load(target).whenComplete((load, failure) -> {
            if (failure != null) {
                ring.offer(new ObserveEvent.PollFailed(target.id(), poll));
                return;
            }
            ring.offer(new ObserveEvent.PollAnswered(target.id(), poll, load.accepting()));
            if (isReportDue(target.id(), load)) {
                report(target, load);
            }
        });
    }

    /**
     * Returns whether this host reports the engine now. Only the first of an engine's observers reports it, at most
     * once a second unless the engine has started or stopped accepting new requests.
     */
    private boolean isReportDue(TargetId engine, LoadReport load) {
        Optional<HostId> reporter = Roles.observers(
                        engine, context.members().members().eligible())
                .stream()
                .findFirst();
        if (!reporter.equals(Optional.of(context.members().self().host()))) {
            return false;
        }
        long now = context.ticker().read();
        LastReport last = lastReports.get(engine);
        boolean due = last == null
                || last.accepting() != load.accepting()
                || now - last.reportedNanos() >= REPORT_INTERVAL_NANOS;
        if (due) {
            lastReports.put(engine, new LastReport(now, load.accepting()));
        }
        return due;
    }

    private void report(Target engine, LoadReport load) {
        long after = nextCacheEvent.getOrDefault(engine.id(), 0L);
        context.control().cacheEvents(engine, after).whenComplete((events, failure) -> {
            Optional<CacheEvents> newEvents =
                    failure == null && events.next() != after ? Optional.of(events) : Optional.empty();
            newEvents.ifPresent(cache -> nextCacheEvent.put(engine.id(), cache.next()));
            dispatchRouter.report(engine.id(), load, newEvents);
        });
    }

    private void listHoldings(Target engine) {
        context.control()
                .holdings(engine)
                .thenAccept(holdings -> ring.offer(new ObserveEvent.HoldingsListed(engine.id(), holdings)));
    }

    private void shareStatuses(ImmutableMap<TargetId, TargetStatus> statuses) {
        Envelope message = ReportMessages.statuses(statuses);
        for (Member member : context.members().members().live().values()) {
            if (!member.host().equals(context.members().self().host())) {
                context.peers().send(member.endpoint(), message);
            }
        }
    }

    private void onTargetChanged(TargetId target, TargetStatus status) {
        LOG.write(LogEvent.TARGET_CHANGED, target, status.reachable(), status.accepting());
        context.directory().setUsable(target, status.reachable() && status.accepting());
        dispatchRouter.onStatusChanged(target, status);
    }

    @Override
    public void close() {
        ring.close();
    }
}
