package org.boragebarrow.ctl;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown when a command fails. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    public CommandException(ExitCode exitCode, String message) {
        super(checkNotNull(message));
        this.exitCode = checkNotNull(exitCode);
    }

    /** Returns the exit code of the process. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
