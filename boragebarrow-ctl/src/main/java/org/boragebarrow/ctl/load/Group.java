package org.boragebarrow.ctl.load;

import java.util.Comparator;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies requests that are counted together.
 *
 * @param work a length class, {@code service NAME} for a service mix, or {@link #ALL}
 * @param organisation the name of an organisation, or {@link #ALL}
 */
record Group(String work, String organisation) implements Comparable<Group> {
    /** Matches every kind of work or every organisation. */
    static final String ALL = "*";

    private static final Comparator<Group> ORDER =
            Comparator.comparing(Group::organisation).thenComparing(Group::work);

    Group {
        checkNotNull(work);
        checkNotNull(organisation);
    }

    @Override
    public int compareTo(Group other) {
        return ORDER.compare(this, other);
    }
}
