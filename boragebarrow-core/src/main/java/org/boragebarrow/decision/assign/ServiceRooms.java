package org.boragebarrow.decision.assign;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.boragebarrow.model.ServiceName;

/**
 * The rooms of the services that have targets.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class ServiceRooms {
    /** Interval at which organisations without use are forgotten. */
    private static final long FORGET_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<ServiceName, ServiceRoom> rooms = new HashMap<>();
    private Optional<Long> forgottenAt = Optional.empty();

    /** Returns the room of a service; one that nothing is known of if the service is new. */
    ServiceRoom of(ServiceName service) {
        return rooms.computeIfAbsent(service, name -> new ServiceRoom());
    }

    /** Forgets all services apart from the given ones. */
    void retain(Set<ServiceName> services) {
        rooms.keySet().retainAll(services);
    }

    /** Forgets what has not mattered for some time. */
    void advance(long now) {
        if (forgottenAt.map(last -> now - last < FORGET_INTERVAL_NANOS).orElse(false)) {
            return;
        }
        forgottenAt = Optional.of(now);
        rooms.values().forEach(room -> room.forgetIdle(now));
    }
}
