package org.boragebarrow.ctl.load;

import static com.google.common.base.Preconditions.checkNotNull;

/** One thing that is wrong with a scenario. */
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
