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
import org.boragebarrow.node.Surroundings;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.port.HostList;
import org.boragebarrow.port.TableService;

/** What lies between the hosts of a deployment; zones can be cut off from each other and from the platform. */
public final class Network {
    private final Map<Endpoint, AvailabilityZoneId> zones = new ConcurrentHashMap<>();
    private final Set<AvailabilityZoneId> cutFromZones = ConcurrentHashMap.newKeySet();
    private final Set<AvailabilityZoneId> cutFromPlatform = ConcurrentHashMap.newKeySet();

    private Network() {}

    /** Returns a network in which everything reaches everything. */
    public static Network direct() {
        return new Network();
    }

    /** Cuts a zone off from all other zones, or heals the cut. */
    public void setCutFromZones(AvailabilityZoneId zone, boolean cut) {
        set(cutFromZones, zone, cut);
    }

    /** Cuts a zone off from the table service and the host list, or heals the cut. */
    public void setCutFromPlatform(AvailabilityZoneId zone, boolean cut) {
        set(cutFromPlatform, zone, cut);
    }

    private static void set(Set<AvailabilityZoneId> zones, AvailabilityZoneId zone, boolean member) {
        if (member) {
            zones.add(zone);
        } else {
            zones.remove(zone);
        }
    }

    void joined(HostId host, AvailabilityZoneId zone, Endpoint endpoint) {
        zones.put(endpoint, zone);
    }

    Surroundings around(HostId host, AvailabilityZoneId zone) {
        return new Surroundings() {
            @Override
            public PeerSender peers(PeerSender links) {
                return (peer, message) -> !isCut(zone, peer) && links.send(peer, message);
            }

            @Override
            public TableService table(TableService table) {
                return new CutTable(zone, table);
            }

            @Override
            public HostList hostList(HostList hostList) {
                return () -> cutFromPlatform.contains(zone)
                        ? CompletableFuture.failedFuture(new IllegalStateException("cut off"))
                        : hostList.list();
            }
        };
    }

    private boolean isCut(AvailabilityZoneId from, Endpoint to) {
        AvailabilityZoneId zone = zones.getOrDefault(to, from);
        return !zone.equals(from) && (cutFromZones.contains(from) || cutFromZones.contains(zone));
    }

    /** A table service that a zone cannot reach while it is cut off. */
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
            return CompletableFuture.failedFuture(new TableUnavailableException("cut off"));
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
