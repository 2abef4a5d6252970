package org.boragebarrow.ctl;

import java.util.function.Supplier;

/** Static functions that report option values rejected by value types as usage errors. */
final class Usage {
    private Usage() {}

    /** Returns the value; throws {@link CommandException} that names the option if the value is not valid. */
    static <T> T checked(String option, Supplier<T> value) {
        try {
            return value.get();
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, option + ": " + e.getMessage());
        }
    }
}
