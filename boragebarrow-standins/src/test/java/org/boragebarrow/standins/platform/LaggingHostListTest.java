package org.boragebarrow.standins.platform;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.port.HostList.EntryHost;
import org.boragebarrow.port.HostList.Listing;

import static com.google.common.truth.Truth.assertThat;

class LaggingHostListTest {
    private static final Listing EMPTY = new Listing(ImmutableList.of(), ImmutableList.of());

    private final LaggingHostList hosts = new LaggingHostList(Duration.ofNanos(10), EMPTY);

    @Example
    void anEditIsVisibleOnlyAfterTheLag() {
        hosts.replace(listing(false), 100);
        assertThat(hosts.read(109)).isEqualTo(EMPTY);
        assertThat(hosts.read(110)).isEqualTo(listing(false));
    }

    @Example
    void editsBecomeVisibleInOrder() {
        hosts.replace(listing(false), 100);
        hosts.replace(EMPTY, 105);
        assertThat(hosts.read(112)).isEqualTo(listing(false));
        assertThat(hosts.read(115)).isEqualTo(EMPTY);
    }

    @Example
    void markLeavingAppliesToTheLatestListingNotTheVisibleOne() {
        hosts.replace(listing(false), 100);
        assertThat(hosts.markLeaving("h1", 101)).isTrue();
        assertThat(hosts.read(111)).isEqualTo(listing(true));
    }

    @Example
    void anUnknownIdCannotBeMarkedAsLeaving() {
        assertThat(hosts.markLeaving("h1", 100)).isFalse();
    }

    private static Listing listing(boolean leaving) {
        EntryHost host =
                new EntryHost(HostId.of("h1"), AvailabilityZoneId.of("a"), Endpoint.of("127.0.0.1", 1), leaving);
        return new Listing(ImmutableList.of(host), ImmutableList.of());
    }
}
