package org.boragebarrow.bench;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;

/** Static factories of the targets, plans and allowances of the benchmarks and simulations. */
final class Fleet {
    static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("zone");
    static final ModelId MODEL = ModelId.of("model");

    private static final long UNLIMITED_TOKENS = 1_000_000_000_000L;
    private static final int UNLIMITED_REQUESTS = 1_000_000;
    private static final int MAX_PROMPT_TOKENS = 2_000_000;
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

    private Fleet() {}

    static ImmutableList<Target> engines(int count) {
        ImmutableList.Builder<Target> engines = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            engines.add(new Target(
                    engineId(i), TargetKind.ENGINE, ZONE, new Endpoint("127.0.0.1", 1), Optional.empty(), false));
        }
        return engines.build();
    }

    static TargetId engineId(int index) {
        return TargetId.of(String.format("engine-%03d", index));
    }

    static OrganisationId organisation(int index) {
        return OrganisationId.of("organisation-" + index);
    }

    static Configuration configuration(int organisations) {
        ImmutableMap.Builder<OrganisationId, Plan> plans = ImmutableMap.builder();
        ImmutableMap.Builder<PlanId, Allowance> allowances = ImmutableMap.builder();
        for (int i = 0; i < organisations; i++) {
            PlanId plan = PlanId.of("plan-" + i);
            plans.put(organisation(i), new Plan(organisation(i), plan, ImmutableSet.of()));
            allowances.put(plan, allowance(plan, 1 + i % 4));
        }
        return new Configuration(1, plans.buildOrThrow(), allowances.buildOrThrow(), ImmutableMap.of());
    }

    private static Allowance allowance(PlanId plan, int weight) {
        return new Allowance(
                plan,
                UNLIMITED_TOKENS,
                UNLIMITED_REQUESTS,
                MAX_PROMPT_TOKENS,
                weight,
                MAX_TIMEOUT,
                MAX_TIMEOUT,
                ImmutableSet.of(),
                ImmutableSet.of());
    }
}
