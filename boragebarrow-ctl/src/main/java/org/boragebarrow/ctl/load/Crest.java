package org.boragebarrow.ctl.load;

import java.util.Locale;

/**
 * The work at the crest of a swing, in tokens of prompts and answers per second.
 *
 * @param offered of the requests that were due then
 * @param finishedOfOffered of these, the ones that were finished in time, whenever
 * @param finished of the requests that ended well then, whenever they were due
 */
record Crest(double offered, double finishedOfOffered, double finished) {
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "crest: %.0f tokens/s offered, %.0f of these finished in time, %.0f finished then",
                offered,
                finishedOfOffered,
                finished);
    }
}
