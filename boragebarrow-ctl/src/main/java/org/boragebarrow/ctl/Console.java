package org.boragebarrow.ctl;

import java.io.PrintStream;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Where a command writes.
 *
 * @param out takes results
 * @param err takes notes and errors
 */
public record Console(PrintStream out, PrintStream err) {
    public Console {
        checkNotNull(out);
        checkNotNull(err);
    }
}
