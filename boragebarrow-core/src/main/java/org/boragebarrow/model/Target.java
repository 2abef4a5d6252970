package org.boragebarrow.model;

import java.util.Optional;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A model engine or plain service instance that requests are sent to.
 *
 * @param service the plain service that a {@link TargetKind#SERVICE} target offers; empty for an engine
 * @param leaving whether the platform has announced that the target goes away
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
        checkArgument(service.isPresent() == (kind == TargetKind.SERVICE), "%s of kind %s: %s", id, kind, service);
    }
}
