package org.boragebarrow.node.change;

import java.util.Optional;

import org.boragebarrow.decision.change.Change;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown when an entry's version differs from the version that an operator expected. */
public final class ChangeConflictException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Optional<Change> present;

    ChangeConflictException(String message, Optional<Change> present) {
        super(message, null, false, false);
        this.present = checkNotNull(present);
    }

    /** Returns the entry's last change, or empty if the entry does not exist. */
    public Optional<Change> present() {
        return present;
    }
}
