package org.boragebarrow.http.server;

/** Ends the process after an error that leaves it in an undefined state, such as exhausted memory. */
public final class FatalErrors {
    private static final int EXIT_CODE = 3;

    private FatalErrors() {}

    /** Ends the process at once, without its shutdown hooks, if the error is one of the virtual machine. */
    public static void exitIfFatal(Throwable error) {
        if (error instanceof VirtualMachineError) {
            System.err.println("fatal: " + error);
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
