package org.boragebarrow.node.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.node.target.TargetDirectory;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Chooses a target without the dispatcher: of two random targets, the one with fewer requests in flight from this host.
 *
 * <p>Thread-safe. Does not check which model an engine serves: an engine with another model refuses, which costs one
 * attempt.
 */
final class LocalChooser {
    private final AvailabilityZoneId zone;
    private final TargetDirectory directory;
    private final Supplier<Configuration> configuration;
    private final Supplier<RandomGenerator> random;
    private final Map<TargetId, Integer> inFlight = new ConcurrentHashMap<>();

    LocalChooser(
            AvailabilityZoneId zone,
            TargetDirectory directory,
            Supplier<Configuration> configuration,
            Supplier<RandomGenerator> random) {
        this.zone = checkNotNull(zone);
        this.directory = checkNotNull(directory);
        this.configuration = checkNotNull(configuration);
        this.random = checkNotNull(random);
    }

    Optional<Target> choose(GrantRequest request) {
        ImmutableList<Target> candidates = directory.inZone(zone).stream()
                .filter(target -> isEligible(target, request))
                .collect(ImmutableList.toImmutableList());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        RandomGenerator generator = random.get();
        Target first = candidates.get(generator.nextInt(candidates.size()));
        Target second = candidates.get(generator.nextInt(candidates.size()));
        return Optional.of(load(second) < load(first) ? second : first);
    }

    private boolean isEligible(Target target, GrantRequest request) {
        boolean offered = switch (request.work()) {
            case Work.Prompt prompt -> target.kind() == TargetKind.ENGINE;
            case Work.ServiceCall call ->
                target.service().filter(call.service()::equals).isPresent();
        };
        return offered
                && !target.leaving()
                && directory.isUsable(target.id())
                && !request.excluded().contains(target.id())
                && configuration.get().accepts(target.id(), target.zone());
    }

    private int load(Target target) {
        return inFlight.getOrDefault(target.id(), 0);
    }

    void started(TargetId target) {
        inFlight.merge(target, 1, Integer::sum);
    }

    void finished(TargetId target) {
        inFlight.computeIfPresent(target, (id, count) -> count > 1 ? count - 1 : null);
    }
}
