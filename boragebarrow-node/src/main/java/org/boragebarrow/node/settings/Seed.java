package org.boragebarrow.node.settings;

import java.util.List;

import com.google.common.base.Splitter;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkArgument;

/** A seed host from the settings, through which hosts discover each other without the host list. */
public record Seed(HostId host, AvailabilityZoneId zone, Endpoint endpoint) {
    private static final Splitter PARTS = Splitter.on('@').trimResults();
    private static final int PART_COUNT = 3;

    static Seed parse(String text) {
        List<String> parts = PARTS.splitToList(text);
        checkArgument(parts.size() == PART_COUNT, "not host@zone@address:port: \"%s\"", text);
        return new Seed(HostId.of(parts.get(0)), AvailabilityZoneId.of(parts.get(1)), Endpoint.parse(parts.get(2)));
    }
}
