package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.model.TargetSwitch;
import org.boragebarrow.port.EngineControl;

/** A dispatcher with a simulated clock and helper methods that send it events. */
final class DispatcherFixture {
    static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");
    static final ModelId MODEL = ModelId.of("m");
    static final ServiceName SERVICE = ServiceName.of("orders");
    static final HostIncarnation FRONT = HostIncarnation.of(HostId.of("front"), IncarnationNumber.of(1));
    static final OrganisationId ORG = OrganisationId.of("org");
    static final Duration TIME_LIMIT = Duration.ofSeconds(60);

    final Dispatcher dispatcher;
    private final List<Target> listed = new ArrayList<>();
    private ImmutableSet<AvailabilityZoneId> emptied = ImmutableSet.of();
    private final List<TargetId> stopped = new ArrayList<>();
    private ImmutableList<Allowance> allowances = ImmutableList.of(allowance("org", 100_000_000, 10_000, 1));
    private long now = 1_000_000_000L;
    private long nextAttempt;
    private long configurationNumber;

    DispatcherFixture(DispatchSettings settings) {
        dispatcher = new Dispatcher(ZONE, settings);
        configure();
    }

    DispatcherFixture() {
        this(DispatchSettings.defaults());
    }

    static Allowance allowance(String organisation, long tokensPerMinute, int concurrent, int weight) {
        return new Allowance(
                PlanId.of(organisation),
                tokensPerMinute,
                concurrent,
                2_000_000,
                weight,
                TIME_LIMIT,
                Duration.ofMinutes(10),
                ImmutableSet.of(),
                ImmutableSet.of());
    }

    ImmutableList<DispatchEffect> apply(DispatchEvent event) {
        return dispatcher.apply(event, now);
    }

    ImmutableList<DispatchEffect> configure(Allowance... replacements) {
        if (replacements.length > 0) {
            allowances = ImmutableList.copyOf(replacements);
        }
        ImmutableMap.Builder<OrganisationId, Plan> plans = ImmutableMap.builder();
        ImmutableMap.Builder<PlanId, Allowance> byPlan = ImmutableMap.builder();
        for (Allowance a : allowances) {
            OrganisationId o = OrganisationId.of(a.plan().value());
            plans.put(o, new Plan(o, a.plan(), ImmutableSet.of()));
            byPlan.put(a.plan(), a);
        }
        return applyConfiguration(plans.buildOrThrow(), byPlan.buildOrThrow());
    }

    ImmutableList<DispatchEffect> removePlans() {
        return applyConfiguration(ImmutableMap.of(), ImmutableMap.of());
    }

    private ImmutableList<DispatchEffect> applyConfiguration(
            ImmutableMap<OrganisationId, Plan> plans, ImmutableMap<PlanId, Allowance> byPlan) {
        ImmutableMap.Builder<TargetId, TargetSwitch> switches = ImmutableMap.builder();
        stopped.forEach(t -> switches.put(t, new TargetSwitch(t, false)));
        return apply(new DispatchEvent.Configured(
                new Configuration(++configurationNumber, plans, byPlan, switches.buildOrThrow(), emptied)));
    }

    /** Empties the zone of all targets, or takes it back. */
    ImmutableList<DispatchEffect> setEmptied(boolean isEmptied) {
        emptied = isEmptied ? ImmutableSet.of(ZONE) : ImmutableSet.of();
        return configure();
    }

    ImmutableList<DispatchEffect> stop(String target) {
        stopped.add(TargetId.of(target));
        return configure();
    }

    ImmutableList<DispatchEffect> start(String target) {
        stopped.remove(TargetId.of(target));
        return configure();
    }

    ImmutableList<DispatchEffect> listEngines(String... engines) {
        listed.clear();
        for (String e : engines) {
            listed.add(engine(e, false));
        }
        return applyTargets();
    }

    ImmutableList<DispatchEffect> listServices(String... services) {
        for (String s : services) {
            listed.add(new Target(
                    TargetId.of(s),
                    TargetKind.SERVICE,
                    ZONE,
                    new Endpoint("127.0.0.1", 1),
                    Optional.of(SERVICE),
                    false));
        }
        return applyTargets();
    }

    ImmutableList<DispatchEffect> markLeaving(String engine) {
        listed.replaceAll(t -> t.id().value().equals(engine) ? engine(engine, true) : t);
        return applyTargets();
    }

    private ImmutableList<DispatchEffect> applyTargets() {
        return apply(new DispatchEvent.TargetsListed(ImmutableList.copyOf(listed)));
    }

    private static Target engine(String id, boolean leaving) {
        return new Target(
                TargetId.of(id), TargetKind.ENGINE, ZONE, new Endpoint("127.0.0.1", 1), Optional.empty(), leaving);
    }

    /** Lists engines and reports each as idle. */
    DispatcherFixture withEngines(int count, long capacity, int slots) {
        String[] ids = new String[count];
        for (int i = 0; i < count; i++) {
            ids[i] = String.format("e%02d", i);
        }
        listEngines(ids);
        for (String id : ids) {
            report(id, capacity, 0, slots, 0, true);
        }
        return this;
    }

    ImmutableList<DispatchEffect> report(
            String engine, long capacity, long used, int slots, int running, boolean accepting) {
        return apply(new DispatchEvent.LoadReported(
                TargetId.of(engine),
                new EngineControl.LoadReport(
                        Duration.ZERO,
                        capacity,
                        used,
                        slots,
                        running,
                        0,
                        20_000,
                        50,
                        ImmutableSet.of(MODEL),
                        "both",
                        accepting)));
    }

    GrantRequest prompt(int promptTokens) {
        return prompt(ORG, promptTokens, 100, TIME_LIMIT);
    }

    GrantRequest prompt(OrganisationId organisation, int promptTokens, int maxTokens, Duration limit) {
        return request(organisation, promptOf(promptTokens, maxTokens), limit);
    }

    static Work.Prompt promptOf(int promptTokens, int maxTokens, long... prefix) {
        return new Work.Prompt(MODEL, promptTokens, maxTokens, ImmutableLongArray.copyOf(prefix));
    }

    GrantRequest request(OrganisationId organisation, Work work, Duration limit) {
        return new GrantRequest(
                AttemptId.of(FRONT, nextAttempt++),
                organisation,
                work,
                now + limit.toNanos(),
                ImmutableSet.of(),
                false);
    }

    GrantRequest serviceCall() {
        return request(ORG, new Work.ServiceCall(SERVICE), TIME_LIMIT);
    }

    ImmutableList<DispatchEffect> submit(GrantRequest request) {
        return apply(new DispatchEvent.Submitted(request));
    }

    ImmutableList<DispatchEffect> finish(GrantRequest request, TargetId target, DispatchEvent.Outcome outcome) {
        return apply(new DispatchEvent.Finished(request.attempt(), target, 10, outcome));
    }

    ImmutableList<DispatchEffect> advance(Duration by) {
        now += by.toNanos();
        return apply(new DispatchEvent.Ticked());
    }

    /** Advances the clock without sending an event. */
    void advanceClock(Duration by) {
        now += by.toNanos();
    }

    long now() {
        return now;
    }

    static DispatchEffect.Granted granted(List<DispatchEffect> effects) {
        return (DispatchEffect.Granted) effects.get(0);
    }

    static DispatchEffect.Refused refused(List<DispatchEffect> effects) {
        return (DispatchEffect.Refused) effects.get(0);
    }

    static TargetId target(List<DispatchEffect> effects) {
        return granted(effects).targets().get(0);
    }
}
