package org.boragebarrow.trials;

import java.util.stream.IntStream;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.standins.engine.EngineSettings;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Specifies the size of a deployment and the settings of its stand-ins.
 *
 * @param engine the settings of all stand-in engines
 * @param seed the seed of the platform; the other stand-ins use the numbers that follow it
 */
public record DeploymentSpec(int zones, int hostsPerZone, int enginesPerZone, EngineSettings engine, long seed) {
    private static final int MAX_ZONES = 26;

    public DeploymentSpec {
        checkArgument(zones > 0 && zones <= MAX_ZONES, "zones must be 1 to %s: %s", MAX_ZONES, zones);
        checkArgument(hostsPerZone > 0, "hosts per zone must be positive: %s", hostsPerZone);
        checkArgument(enginesPerZone > 0, "engines per zone must be positive: %s", enginesPerZone);
    }

    /** Returns the ids of the zones: {@code a}, {@code b} and so on. */
    public ImmutableList<AvailabilityZoneId> zoneIds() {
        return IntStream.range(0, zones)
                .mapToObj(index -> AvailabilityZoneId.of(String.valueOf((char) ('a' + index))))
                .collect(ImmutableList.toImmutableList());
    }
}
