package org.boragebarrow.ctl;

/** One command of the command line. */
@FunctionalInterface
public interface CtlCommand {
    /** Runs the command; throws {@link CommandException} if it fails. */
    void run(Console console);
}
