package org.boragebarrow.node;

/** Reports that a command failed, with the process's exit code. */
final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    CommandException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
