package org.boragebarrow.standins.platform;

import java.time.Duration;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.HostList.Listing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Settings of the stand-in for the platform.
 *
 * @param hosts the initial host list
 * @param hostListLag the time until an edit of the host list is visible to readers
 * @param loadsPerMinute the maximum number of model loads that the weight store allows per minute
 * @param seed the seed of the random generators that draw the faults
 */
public record PlatformSettings(Endpoint endpoint, Listing hosts, Duration hostListLag, int loadsPerMinute, long seed) {
    public PlatformSettings {
        checkNotNull(endpoint);
        checkNotNull(hosts);
        checkNotNull(hostListLag);
    }
}
