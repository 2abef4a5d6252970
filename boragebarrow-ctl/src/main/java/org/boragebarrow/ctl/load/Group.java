package org.boragebarrow.ctl.load;

import java.util.Comparator;

import static com.google.common.base.Preconditions.checkNotNull;

/** Requests that are counted together: of one length class or service mix, of one organisation, or of all. */
record Group(String work, String organisation) implements Comparable<Group> {
    /** Stands for all. */
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
