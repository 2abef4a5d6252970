package org.boragebarrow.decision.routing;

import java.util.Optional;

import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What the operator says of a service.
 *
 * @param maxConnections connections that one of its targets takes from all hosts together
 * @param engine the speed of its targets if they are model engines
 */
public record ServiceProfile(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {
    public ServiceProfile {
        checkNotNull(name);
        checkNotNull(engine);
    }
}
