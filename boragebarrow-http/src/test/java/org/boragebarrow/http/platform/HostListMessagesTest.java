package org.boragebarrow.http.platform;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.http.platform.HostListMessages.ListingMessage;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.HostList.EntryHost;
import org.boragebarrow.port.HostList.Listing;

import static com.google.common.truth.Truth.assertThat;

class HostListMessagesTest {
    private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");
    private static final Endpoint ENDPOINT = Endpoint.of("127.0.0.1", 7100);

    @Example
    void aListingRoundTripsThroughJson() {
        EntryHost host = new EntryHost(HostId.of("h1"), ZONE, ENDPOINT, true);
        Target engine = new Target(TargetId.of("e1"), TargetKind.ENGINE, ZONE, ENDPOINT, Optional.empty(), false);
        Optional<ServiceName> stock = Optional.of(ServiceName.of("stock"));
        Target service = new Target(TargetId.of("s1"), TargetKind.SERVICE, ZONE, ENDPOINT, stock, true);
        Listing listing = new Listing(ImmutableList.of(host), ImmutableList.of(engine, service));
        byte[] json = PlatformJson.write(ListingMessage.of(listing));
        assertThat(PlatformJson.read(json, ListingMessage.class).toListing()).isEqualTo(listing);
    }
}
