package org.boragebarrow.decision.quarantine;

import java.util.Comparator;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The state of one part.
 *
 * @param lifted whether prompts with the part may be sent again
 * @param revision raised by each change, at least 1
 * @param author the host or operator that made the change
 * @param reason why the change was made, for operators
 * @param offences how often the part was quarantined because of crashes; 0 if an operator decided last
 * @param changedAtMillis when the change was made, in Unix milliseconds of its author's clock, for operators to read only
 */
public record QuarantineEntry(
        PartKey key, boolean lifted, long revision, String author, String reason, int offences, long changedAtMillis) {
    /** The maximum length of the author and the reason, in characters. */
    public static final int MAX_TEXT_LENGTH = 200;

    private static final Comparator<QuarantineEntry> PRECEDENCE = Comparator.comparingLong(QuarantineEntry::revision)
            .thenComparing(entry -> !entry.lifted())
            .thenComparing(QuarantineEntry::author)
            .thenComparing(QuarantineEntry::reason)
            .thenComparingInt(QuarantineEntry::offences)
            .thenComparingLong(QuarantineEntry::changedAtMillis);

    public QuarantineEntry {
        checkNotNull(key);
        checkArgument(revision >= 1, "revision of %s must be at least 1: %s", key, revision);
        checkArgument(author.length() <= MAX_TEXT_LENGTH, "author of %s is too long", key);
        checkArgument(reason.length() <= MAX_TEXT_LENGTH, "reason of %s is too long", key);
        checkArgument(offences >= 0, "negative number of offences of %s: %s", key, offences);
    }

    /** Returns whether this entry replaces the other one of the same part; all hosts agree on one of any two. */
    public boolean supersedes(QuarantineEntry other) {
        checkArgument(key.equals(other.key), "entries of different parts: %s and %s", key, other.key);
        return PRECEDENCE.compare(this, other) > 0;
    }
}
