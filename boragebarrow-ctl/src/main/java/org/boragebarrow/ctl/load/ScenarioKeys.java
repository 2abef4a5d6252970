package org.boragebarrow.ctl.load;

import org.boragebarrow.ctl.Secrets;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions on the API keys that scenarios name. */
public final class ScenarioKeys {
    private static final String TRIAL = "trial:";

    private ScenarioKeys() {}

    /** Returns the place if it names a key, which may be a trial's key that stands in the scenario itself. */
    static String checked(String place) {
        boolean known = place.startsWith(TRIAL) || place.startsWith("file:") || place.startsWith("env:");
        checkArgument(known, "a key is named as file:PATH, env:NAME or trial:KEY");
        return place;
    }

    /** Reads the key. */
    public static String read(String place) {
        return place.startsWith(TRIAL) ? place.substring(TRIAL.length()) : Secrets.read(place);
    }
}
