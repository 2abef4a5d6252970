package org.boragebarrow.ctl.load;

import org.boragebarrow.ctl.Secrets;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that read the API keys of scenarios from their sources: file:PATH, env:NAME or trial:KEY. */
public final class ScenarioKeys {
    private static final String TRIAL = "trial:";

    private ScenarioKeys() {}

    /**
     * Returns the source if it is well-formed.
     *
     * <p>With {@code trial:KEY}, for trials, the scenario contains the key itself.
     */
    static String checked(String source) {
        boolean known = source.startsWith(TRIAL) || source.startsWith("file:") || source.startsWith("env:");
        checkArgument(known, "key must be given as file:PATH, env:NAME or trial:KEY");
        return source;
    }

    /**
     * Reads the key from its source.
     *
     * @throws IllegalArgumentException if it cannot be read
     */
    public static String read(String source) {
        return source.startsWith(TRIAL) ? source.substring(TRIAL.length()) : Secrets.read(source);
    }
}
