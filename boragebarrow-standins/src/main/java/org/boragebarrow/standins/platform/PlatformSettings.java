package org.boragebarrow.standins.platform;

import java.time.Duration;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.HostList.Listing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Settings of the platform's stand-in.
 *
 * @param hosts the host list at the start
 * @param hostListLag how long readers of the host list do not see an edit
 * @param loadsPerMinute the model loads that the weight store allows in a minute
 * @param seed the seed of all draws
 */
public record PlatformSettings(Endpoint endpoint, Listing hosts, Duration hostListLag, int loadsPerMinute, long seed) {
    public PlatformSettings {
        checkNotNull(endpoint);
        checkNotNull(hosts);
        checkNotNull(hostListLag);
    }
}
