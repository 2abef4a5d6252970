package org.boragebarrow.ctl.load;

import org.boragebarrow.ctl.Secrets;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that read the API keys of scenarios from their sources: file:PATH, env:NAME or trial:KEY. */
public final class ScenarioApiKeys {
    private static final String INLINE_PREFIX = "trial:";

    private ScenarioApiKeys() {}

    /**
     * Returns the source if it is well-formed.
     *
     * <p>With {@code trial:KEY}, for trials, the scenario contains the key itself.
     */
    static String checkSource(String source) {
        boolean known = source.startsWith(INLINE_PREFIX) || source.startsWith("file:") || source.startsWith("env:");
        checkArgument(known, "key must be given as file:PATH, env:NAME or trial:KEY");
        return source;
    }

    /**
     * Reads the key from its source.
     *
     * @throws IllegalArgumentException if it cannot be read
     */
    public static String read(String source) {
        return source.startsWith(INLINE_PREFIX) ? source.substring(INLINE_PREFIX.length()) : Secrets.read(source);
    }
}
