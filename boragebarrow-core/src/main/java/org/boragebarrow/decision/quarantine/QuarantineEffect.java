package org.boragebarrow.decision.quarantine;

import java.time.Duration;

import org.boragebarrow.port.StorePosition;

/** An effect of the {@link Quarantine}. */
public sealed interface QuarantineEffect {
    /** The state of a part changed on this host. */
    record Changed(QuarantineEntry entry, Source source) implements QuarantineEffect {}

    /** The entry is to be announced to all other hosts. */
    record Announce(QuarantineEntry entry) implements QuarantineEffect {}

    /**
     * The entry is to be written to the store.
     *
     * @param expected the position that its row must have, with version 0 if it must not exist
     */
    record Write(QuarantineEntry entry, StorePosition expected) implements QuarantineEffect {}

    /** A {@link QuarantineEvent.Ticked} is to follow after the delay; a later effect replaces an earlier one. */
    record WakeUp(Duration delay) implements QuarantineEffect {}

    /** The quarantine is full, so the part was not added. */
    record Rejected(QuarantineEntry entry) implements QuarantineEffect {}

    /** Where a change comes from. */
    enum Source {
        /** This host decided it, or an operator through it. */
        OWN,
        /** Another host announced it. */
        PEER,
        /** It was read from the store. */
        STORE
    }
}
