package org.boragebarrow.decision.routing;

import java.util.Optional;

import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The configuration of a service.
 *
 * @param maxConnections the most connections that one target accepts from all hosts together
 * @param engine the performance of the targets if they are model engines
 */
public record ServiceProfile(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {
    public ServiceProfile {
        checkNotNull(name);
        checkNotNull(engine);
    }
}
