package org.boragebarrow.ctl;

import static com.google.common.base.Preconditions.checkNotNull;

/** Reports that a command failed. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    public CommandException(ExitCode exitCode, String message) {
        super(checkNotNull(message));
        this.exitCode = checkNotNull(exitCode);
    }

    /** Returns what the process exits with. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
