package org.boragebarrow.model;

import java.util.Optional;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A back end that requests are sent to: a model engine or an instance of a plain service.
 *
 * @param service the plain service that a {@link TargetKind#SERVICE} target offers; empty for an engine
 * @param leaving whether the platform has announced that it will remove the target
 */
public record Target(
        TargetId id,
        TargetKind kind,
        AvailabilityZoneId zone,
        Endpoint endpoint,
        Optional<ServiceName> service,
        boolean leaving) {
    public Target {
        checkNotNull(id);
        checkNotNull(zone);
        checkNotNull(endpoint);
        checkArgument(
                service.isPresent() == (kind == TargetKind.SERVICE),
                "target %s of kind %s must have a service name only if it is a service: %s",
                id,
                kind,
                service);
    }
}
