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
    private final Map<Endpoint, AvailabilityZoneId> zones = new ConcurrentHashMap<>();
    private final Set<AvailabilityZoneId> cutFromZones = ConcurrentHashMap.newKeySet();
    private final Set<AvailabilityZoneId> cutFromPlatform = ConcurrentHashMap.newKeySet();

    private Network() {}

    /** Returns a network in which no zone is isolated. */
    public static Network direct() {
        return new Network();
    }

    /** Isolates a zone from all other zones, or reconnects it. */
    public void setCutFromZones(AvailabilityZoneId zone, boolean isolated) {
        set(cutFromZones, zone, isolated);
    }

    /** Isolates a zone from the table service and the host list, or reconnects it. */
    public void setCutFromPlatform(AvailabilityZoneId zone, boolean isolated) {
        set(cutFromPlatform, zone, isolated);
    }

    private static void set(Set<AvailabilityZoneId> isolatedZones, AvailabilityZoneId zone, boolean isolated) {
        if (isolated) {
            isolatedZones.add(zone);
        } else {
            isolatedZones.remove(zone);
        }
    }

    void joined(HostId host, AvailabilityZoneId zone, Endpoint endpoint) {
        zones.put(endpoint, zone);
    }

    PortDecorator around(HostId host, AvailabilityZoneId zone) {
        return new PortDecorator() {
            @Override
            public PeerSender decoratePeerSender(PeerSender links) {
                return (peer, message) -> !isCut(zone, peer) && links.send(peer, message);
            }

            @Override
            public TableService decorateTable(TableService table) {
                return new CutTable(zone, table);
            }

            @Override
            public HostList decorateHostList(HostList hostList) {
                return () -> cutFromPlatform.contains(zone)
                        ? CompletableFuture.failedFuture(
                                new IllegalStateException("zone is isolated from the host list"))
                        : hostList.list();
            }
        };
    }

    private boolean isCut(AvailabilityZoneId from, Endpoint to) {
        AvailabilityZoneId toZone = zones.getOrDefault(to, from);
        return !toZone.equals(from) && (cutFromZones.contains(from) || cutFromZones.contains(toZone));
    }

    /** The table service as used by one zone; unavailable while the zone is isolated from the platform. */
    private final class CutTable implements TableService {
        private final AvailabilityZoneId zone;
        private final TableService table;

        CutTable(AvailabilityZoneId zone, TableService table) {
            this.zone = zone;
            this.table = table;
        }

        private boolean isCut() {
            return cutFromPlatform.contains(zone);
        }

        private static <T> CompletableFuture<T> unreachable() {
            return CompletableFuture.failedFuture(
                    new TableUnavailableException("zone is isolated from the table service"));
        }

        @Override
        public CompletableFuture<Optional<Row>> get(String key) {
            return isCut() ? unreachable() : table.get(key);
        }

        @Override
        public CompletableFuture<ImmutableList<Row>> scan(String prefix, int limit) {
            return isCut() ? unreachable() : table.scan(prefix, limit);
        }

        @Override
        public CompletableFuture<CommitResult> commit(
                ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
            return isCut() ? CompletableFuture.completedFuture(new Unavailable()) : table.commit(conditions, writes);
        }
    }
}
