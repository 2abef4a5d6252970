package org.boragebarrow.node;

/** Thrown when a command fails; carries the exit code of the process. */
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
