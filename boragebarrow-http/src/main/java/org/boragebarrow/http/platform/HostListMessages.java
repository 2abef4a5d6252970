package org.boragebarrow.http.platform;

import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.HostList.EntryHost;
import org.boragebarrow.port.HostList.Listing;

import static com.google.common.base.Preconditions.checkNotNull;

/** The JSON messages of the host list. */
public final class HostListMessages {
    private HostListMessages() {}

    /** The complete list. */
    public record ListingMessage(List<EntryHostMessage> entryHosts, List<TargetMessage> targets) {
        public ListingMessage {
            entryHosts = ImmutableList.copyOf(entryHosts);
            targets = ImmutableList.copyOf(targets);
        }

        /** Converts a {@link Listing} to its message. */
        public static ListingMessage of(Listing listing) {
            ImmutableList.Builder<EntryHostMessage> hosts = ImmutableList.builder();
            listing.entryHosts().forEach(host -> hosts.add(EntryHostMessage.of(host)));
            ImmutableList.Builder<TargetMessage> targets = ImmutableList.builder();
            listing.targets().forEach(target -> targets.add(TargetMessage.of(target)));
            return new ListingMessage(hosts.build(), targets.build());
        }

        /**
         * Converts this message to a {@link Listing}.
         *
         * @throws IllegalArgumentException if an id, an endpoint or a kind is malformed
         */
        public Listing toListing() {
            ImmutableList.Builder<EntryHost> hosts = ImmutableList.builder();
            entryHosts.forEach(host -> hosts.add(host.toEntryHost()));
            ImmutableList.Builder<Target> listed = ImmutableList.builder();
            targets.forEach(target -> listed.add(target.toTarget()));
            return new Listing(hosts.build(), listed.build());
        }
    }

    /** One entry host. */
    public record EntryHostMessage(String id, String zone, String endpoint, boolean leaving) {
        public EntryHostMessage {
            checkNotNull(id);
            checkNotNull(zone);
            checkNotNull(endpoint);
        }

        private static EntryHostMessage of(EntryHost host) {
            return new EntryHostMessage(
                    host.id().value(), host.zone().value(), host.endpoint().toString(), host.leaving());
        }

        private EntryHost toEntryHost() {
            return new EntryHost(HostId.of(id), AvailabilityZoneId.of(zone), Endpoint.parse(endpoint), leaving);
        }
    }

    /**
     * One target.
     *
     * @param service name of the plain service; empty for an engine
     */
    public record TargetMessage(
            String id, TargetKind kind, String zone, String endpoint, String service, boolean leaving) {
        public TargetMessage {
            checkNotNull(id);
            checkNotNull(kind);
            checkNotNull(zone);
            checkNotNull(endpoint);
            checkNotNull(service);
        }

        private static TargetMessage of(Target target) {
            return new TargetMessage(
                    target.id().value(),
                    target.kind(),
                    target.zone().value(),
                    target.endpoint().toString(),
                    target.service().map(ServiceName::value).orElse(""),
                    target.leaving());
        }

        private Target toTarget() {
            return new Target(
                    TargetId.of(id),
                    kind,
                    AvailabilityZoneId.of(zone),
                    Endpoint.parse(endpoint),
                    service.isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(service)),
                    leaving);
        }
    }
}
