package org.boragebarrow.ctl.load;

import static com.google.common.base.Preconditions.checkNotNull;

/** A problem in a scenario file; the section and key are empty if the problem concerns no particular one. */
public record ScenarioProblem(String section, String key, String reason) {
    public ScenarioProblem {
        checkNotNull(section);
        checkNotNull(key);
        checkNotNull(reason);
    }

    @Override
    public String toString() {
        return "[" + section + "] " + key + ": " + reason;
    }
}
