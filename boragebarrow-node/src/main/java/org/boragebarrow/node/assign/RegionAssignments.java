package org.boragebarrow.node.assign;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.node.relay.Assignments;

/** Asks the assigner of the region. All but construction happens on the event loop. */
public final class RegionAssignments implements Assignments, AutoCloseable {
    /** When a caller may come back to a host whose ring is full. */
    private static final Duration FULL_RETURN = Duration.ofSeconds(1);

    private final AssignDuty duty;
    private final Map<AttemptId, Decision> pending = new HashMap<>();

    /** Starts the host's own assigner. */
    public RegionAssignments(EventLoop loop, Ticker ticker, BiConsumer<String, Throwable> failures) {
        this.duty = new AssignDuty(loop, ticker, this::onDecided, failures);
    }

    @Override
    public void submit(Work work, Decision decision) {
        pending.put(work.id(), decision);
        if (!duty.offer(new AssignEvent.Submitted(work))) {
            pending.remove(work.id());
            decision.onDecided(new AssignEffect.Refused(work.id(), RefusalReason.OVERLOADED, FULL_RETURN));
        }
    }

    private void onDecided(ImmutableList<AssignEffect> effects) {
        for (AssignEffect effect : effects) {
            Decision decision = pending.remove(effect.id());
            if (decision != null) {
                decision.onDecided(effect);
            }
        }
    }

    @Override
    public void firstEvent(AttemptId id) {
        duty.offerSurely(new AssignEvent.FirstEventSeen(id));
    }

    @Override
    public void ended(AttemptId id, Outcome outcome) {
        pending.remove(id);
        duty.offerSurely(new AssignEvent.Ended(id, outcome));
    }

    /** Takes over the targets. */
    public void setFleet(ImmutableList<FleetTarget> targets) {
        duty.offerSurely(new AssignEvent.FleetChanged(targets));
    }

    /** Takes over the speeds of engines. */
    public void setProfiles(ImmutableMap<ServiceName, EngineProfile> profiles) {
        duty.offerSurely(new AssignEvent.ProfilesChanged(profiles));
    }

    @Override
    public void close() {
        duty.close();
    }
}
