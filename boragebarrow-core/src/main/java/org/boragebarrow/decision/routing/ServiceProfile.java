package org.boragebarrow.decision.routing;

import java.util.Optional;

import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The configuration of a service.
 *
 * @param maxConnections the most connections that one target accepts from all hosts together
 * @param engine the performance of the targets if they are model engines
 * @param coldStart what targets bear just after their start; empty if as much as later
 */
public record ServiceProfile(
        ServiceName name, int maxConnections, Optional<EngineProfile> engine, Optional<ColdStart> coldStart) {
    public ServiceProfile {
        checkNotNull(name);
        checkNotNull(engine);
        checkNotNull(coldStart);
    }

    /** Creates a profile of targets that bear as much after their start as later. */
    public ServiceProfile(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {
        this(name, maxConnections, engine, Optional.empty());
    }
}
