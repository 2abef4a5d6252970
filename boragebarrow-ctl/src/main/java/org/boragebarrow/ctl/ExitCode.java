package org.boragebarrow.ctl;

/** The exit codes of the process. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed, or a host refused it. */
    FAILED(1),
    /** The command line, a setting or a scenario is not valid. */
    USAGE(2),
    /** The entry changed since it was read. */
    CONFLICT(3),
    /** No host responded. */
    UNREACHABLE(4),
    /** The change was accepted but is not yet in effect on every reachable host. */
    WAIT_TIMED_OUT(5);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the number passed to {@link System#exit}. */
    public int value() {
        return value;
    }
}
