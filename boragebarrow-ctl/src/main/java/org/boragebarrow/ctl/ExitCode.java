package org.boragebarrow.ctl;

/** What the process exits with. */
public enum ExitCode {
    /** The command did what it was asked for. */
    OK(0),
    /** The command failed, or a host refused it. */
    FAILED(1),
    /** The command line, a setting or a scenario is wrong. */
    USAGE(2),
    /** The entry changed since it was read. */
    CONFLICT(3),
    /** No host answered. */
    UNREACHABLE(4),
    /** The change was accepted but is not yet in force on every reachable host. */
    WAIT_TIMED_OUT(5);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the number that the process exits with. */
    public int value() {
        return value;
    }
}
