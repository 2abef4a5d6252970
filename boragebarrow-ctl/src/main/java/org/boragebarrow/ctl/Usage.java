package org.boragebarrow.ctl;

import java.util.function.Supplier;

/** Static functions that turn complaints of value types into usage errors. */
final class Usage {
    private Usage() {}

    /** Returns the value, or reports which option is wrong. */
    static <T> T checked(String option, Supplier<T> value) {
        try {
            return value.get();
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, option + ": " + e.getMessage());
        }
    }
}
