package org.boragebarrow.ctl;

import java.io.PrintStream;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The output streams of a command.
 *
 * @param out receives results
 * @param err receives notes and errors
 */
public record Console(PrintStream out, PrintStream err) {
    public Console {
        checkNotNull(out);
        checkNotNull(err);
    }
}
