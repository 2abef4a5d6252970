package org.boragebarrow.ctl.load;

import java.util.Locale;

/**
 * Throughput at the peak rate, after the ramp, in tokens of prompts and responses per second.
 *
 * @param offered tokens of the requests whose intended send time was during the peak
 * @param finishedOfOffered tokens of those requests that were completed in time, during the peak or after it
 * @param finished tokens of the requests that were completed in time and ended during the peak, whenever they
 *     were intended to be sent
 */
record PeakThroughput(double offered, double finishedOfOffered, double finished) {
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "peak: %.0f tokens/s offered, %.0f of these finished in time, %.0f finished during the peak",
                offered,
                finishedOfOffered,
                finished);
    }
}
