package org.boragebarrow.node.plan;

import java.util.OptionalLong;
import java.util.function.Supplier;

import com.google.common.base.Ticker;
import org.boragebarrow.decision.lease.LeaseEffect;
import org.boragebarrow.decision.lease.LeaseEvent;
import org.boragebarrow.decision.lease.LeaseMachine;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.decision.plan.Planner;
import org.boragebarrow.decision.plan.PlannerEffect;
import org.boragebarrow.decision.plan.PlannerEvent;
import org.boragebarrow.decision.table.TableCalls;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.node.settings.HostSettings.Planning;
import org.boragebarrow.node.target.TargetDirectory;
import org.boragebarrow.port.EngineControl;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.WeightStore;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Runs {@link Planner} and the {@link LeaseMachine} of the zone's planner on a dedicated thread.
 *
 * <p>Inactive while the settings name no models.
 */
public final class PlanDuty implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(PlanDuty.class);

    private final Collaborators context;
    private final Planning settings;
    private final LeaseMachine lease;
    private final Planner planner;
    private final EnginePoller poller;
    private final DutyRing<Input> ring;

    private boolean leaseWanted;
    private OptionalLong heldEpoch = OptionalLong.empty();

    private volatile OptionalLong fencingNumber = OptionalLong.empty();

    /** The collaborators of the duty. */
    public record Collaborators(
            Members members,
            TargetDirectory directory,
            Supplier<Configuration> configuration,
            EngineControl control,
            TableService table,
            WeightStore weights,
            Ticker ticker) {}

    /** An event for the duty's thread. */
    private sealed interface Input {}

    private record LeaseInput(LeaseEvent event) implements Input {}

    private record PlannerInput(PlannerEvent event) implements Input {}

    private record Polled(EnginePoller.LoadResponse response) implements Input {}

    private record Tick() implements Input {}

    /** Starts the duty. */
    public PlanDuty(Collaborators context, Planning settings, DutyRing.Factory rings) {
        this.context = checkNotNull(context);
        this.settings = checkNotNull(settings);
        String name = "planner/" + context.members().zone();
        this.lease = new LeaseMachine(name, context.members().self(), settings.lease());
        this.planner = new Planner(settings.planner());
        this.poller = new EnginePoller(
                context.control()::load, context.ticker(), settings.planner().models());
        this.ring = rings.start("plan", this::handle);
    }

    /** Queues a tick, which updates the lease and, while this host holds it, polls the engines when due. */
    public void tick() {
        if (!settings.planner().models().isEmpty()) {
            ring.offer(new Tick());
        }
    }

    /** Returns the fencing number of this host's orders, or empty while it does not hold the planner's lease. */
    public OptionalLong fencingNumber() {
        return fencingNumber;
    }

    private void handle(Input input) {
        switch (input) {
            case Tick tick -> handleTick();
            case LeaseInput event -> apply(event.event());
            case PlannerInput event -> apply(event.event());
            case Polled polled -> {
                apply(polled.response().toEvent());
                apply(poller.recordResponse(polled.response()));
            }
        }
    }

    private void handleTick() {
        boolean nowPlanner = context.members().holds(new Role.Planner());
        if (nowPlanner != leaseWanted) {
            leaseWanted = nowPlanner;
            apply(new LeaseEvent.WantedChanged(leaseWanted));
        }
        apply(new LeaseEvent.Ticked());
        if (heldEpoch.isEmpty()) {
            return;
        }
        EngineListing engines = EngineListing.of(context, settings.unfencedEngines());
        apply(new PlannerEvent.EnginesListed(engines.engines()));
        poller.poll(engines.usable(), response -> ring.offer(new Polled(response)));
    }

    private void apply(LeaseEvent event) {
        for (LeaseEffect effect : lease.apply(event, context.ticker().read())) {
            switch (effect) {
                case LeaseEffect.Call call ->
                    TableCalls.make(call.table(), context.table())
                            .thenAccept(answer -> ring.offerWithRetry(
                                    new LeaseInput(new LeaseEvent.Answered(call.callId(), answer))));
                case LeaseEffect.Held held -> onLeaseHeld(held);
                case LeaseEffect.Lost lost -> onLeaseLost(lost.epoch());
            }
        }
    }

    private void onLeaseHeld(LeaseEffect.Held held) {
        OptionalLong epoch = OptionalLong.of(held.epoch());
        if (!epoch.equals(heldEpoch)) {
            LOG.write(LogEvent.LEASE_CHANGED, true, held.epoch());
            poller.restart();
            setEpoch(epoch);
        }
        apply(new PlannerEvent.LeaseHeld(held.epoch(), held.expiryNanos()));
    }

    private void onLeaseLost(long epoch) {
        LOG.write(LogEvent.LEASE_CHANGED, false, epoch);
        setEpoch(OptionalLong.empty());
        apply(new PlannerEvent.LeaseLost());
    }

    private void setEpoch(OptionalLong epoch) {
        heldEpoch = epoch;
        fencingNumber = epoch;
    }

    private void apply(PlannerEvent event) {
        for (PlannerEffect effect : planner.apply(event, context.ticker().read())) {
            switch (effect) {
                case PlannerEffect.Send send -> send(send);
                case PlannerEffect.QueryWeightStore query -> queryWeightStore();
            }
        }
    }

    private void send(PlannerEffect.Send send) {
        boolean late = context.ticker().read() - send.notAfterNanos() >= 0;
        if (late) {
            // Nothing was sent, so the order can be sent again once the lease is renewed.
            queueOrderEnded(send.engine(), PlannerEvent.Result.REFUSED);
            return;
        }
        context.directory()
                .find(send.engine())
                .ifPresentOrElse(
                        engine -> {
                            poller.onOrderSent();
                            LOG.write(LogEvent.ORDER_SENT, send.order(), engine.id(), send.fencingNumber());
                            context.control()
                                    .order(engine, send.order(), send.fencingNumber())
                                    .whenComplete((accepted, failure) -> onCallEnded(send, accepted, failure));
                        },
                        () -> queueOrderEnded(send.engine(), PlannerEvent.Result.FAILED));
    }

    private void onCallEnded(PlannerEffect.Send send, Boolean accepted, Throwable failure) {
        if (failure != null) {
            LOG.write(LogEvent.ORDER_FAILED, send.order(), send.engine(), failure.getMessage());
            queueOrderEnded(send.engine(), PlannerEvent.Result.FAILED);
        } else if (accepted) {
            queueOrderEnded(send.engine(), PlannerEvent.Result.ACCEPTED);
        } else {
            LOG.write(LogEvent.ORDER_REFUSED, send.order(), send.engine(), send.fencingNumber());
            queueOrderEnded(send.engine(), PlannerEvent.Result.REFUSED);
        }
    }

    private void queueOrderEnded(TargetId engine, PlannerEvent.Result result) {
        ring.offerWithRetry(new PlannerInput(new PlannerEvent.OrderEnded(engine, result)));
    }

    private void queryWeightStore() {
        context.weights().remainingLoads().whenComplete((loads, failure) -> {
            if (failure == null) {
                ring.offer(new PlannerInput(new PlannerEvent.LoadsAllowed(loads)));
            } else {
                LOG.write(LogEvent.WEIGHT_STORE_UNREACHABLE, failure.getMessage());
            }
        });
    }

    @Override
    public void close() {
        ring.close();
    }
}
