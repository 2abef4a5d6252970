package org.boragebarrow.trials;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.PortDecorator;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.port.HostList;
import org.boragebarrow.port.TableService;

/** The simulated network of a deployment; zones can be isolated from each other and from the platform. Thread-safe. */
public final class Network {
    private final Map<Endpoint, AvailabilityZoneId> zonesByEndpoint = new ConcurrentHashMap<>();
    private final Set<AvailabilityZoneId> isolatedFromZones = ConcurrentHashMap.newKeySet();
    private final Set<AvailabilityZoneId> isolatedFromPlatform = ConcurrentHashMap.newKeySet();

    private Network() {}

    /** Returns a network in which no zone is isolated. */
    public static Network withoutIsolation() {
        return new Network();
    }

    /** Isolates a zone from all other zones, or reconnects it. */
    public void setIsolatedFromZones(AvailabilityZoneId zone, boolean isolated) {
        setIsolated(isolatedFromZones, zone, isolated);
    }

    /** Isolates a zone from the table service and the host list, or reconnects it. */
    public void setIsolatedFromPlatform(AvailabilityZoneId zone, boolean isolated) {
        setIsolated(isolatedFromPlatform, zone, isolated);
    }

    private static void setIsolated(Set<AvailabilityZoneId> isolatedZones, AvailabilityZoneId zone, boolean isolated) {
        if (isolated) {
            isolatedZones.add(zone);
        } else {
            isolatedZones.remove(zone);
        }
    }

    void registerHost(HostId host, AvailabilityZoneId zone, Endpoint endpoint) {
        zonesByEndpoint.put(endpoint, zone);
    }

    PortDecorator decoratorFor(HostId host, AvailabilityZoneId zone) {
        return new PortDecorator() {
            @Override
            public PeerSender decoratePeerSender(PeerSender links) {
                return (peer, message) -> !isBlocked(zone, peer) && links.send(peer, message);
            }

            @Override
            public TableService decorateTable(TableService table) {
                return new IsolatableTable(zone, table);
            }

            @Override
            public HostList decorateHostList(HostList hostList) {
                return () -> isolatedFromPlatform.contains(zone)
                        ? CompletableFuture.failedFuture(
                                new IllegalStateException("zone is isolated from the host list"))
                        : hostList.list();
            }
        };
    }

    private boolean isBlocked(AvailabilityZoneId from, Endpoint to) {
        AvailabilityZoneId toZone = zonesByEndpoint.getOrDefault(to, from);
        return !toZone.equals(from) && (isolatedFromZones.contains(from) || isolatedFromZones.contains(toZone));
    }

    /** The table service as used by one zone; unavailable while the zone is isolated from the platform. */
    private final class IsolatableTable implements TableService {
        private final AvailabilityZoneId zone;
        private final TableService table;

        IsolatableTable(AvailabilityZoneId zone, TableService table) {
            this.zone = zone;
            this.table = table;
        }

        private boolean isIsolated() {
            return isolatedFromPlatform.contains(zone);
        }

        private static <T> CompletableFuture<T> failedCall() {
            return CompletableFuture.failedFuture(
                    new TableUnavailableException("zone is isolated from the table service"));
        }

        @Override
        public CompletableFuture<Optional<Row>> get(String key) {
            return isIsolated() ? failedCall() : table.get(key);
        }

        @Override
        public CompletableFuture<ImmutableList<Row>> scan(String prefix, int limit) {
            return isIsolated() ? failedCall() : table.scan(prefix, limit);
        }

        @Override
        public CompletableFuture<CommitResult> commit(
                ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
            return isIsolated()
                    ? CompletableFuture.completedFuture(new Unavailable())
                    : table.commit(conditions, writes);
        }
    }
}
