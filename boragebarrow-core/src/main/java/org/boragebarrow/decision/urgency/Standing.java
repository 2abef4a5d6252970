package org.boragebarrow.decision.urgency;

import org.boragebarrow.model.UrgencyRank;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The right of waiting work to the next room of its service; the least one goes first.
 *
 * <p>The share of an organisation counts among work that is as far on its way only: work of a large organisation that can
 * still be on time does not wait until it is late for others' work that is late already.
 *
 * <p>Age counts within a rank only. Otherwise, an overload of less urgent work would age, and then go before all work that
 * is more urgent.
 *
 * @param overShare whether the organisation has used more than its share of the service
 * @param slackMillis the time left until the objective, negative once it has passed
 */
public record Standing(UrgencyRank rank, boolean overShare, Phase phase, double slackMillis)
        implements Comparable<Standing> {
    /** How far work is on its way to its objective and to its limit. */
    public enum Phase {
        /** The caller is about to disconnect; it has lost most of its time already. */
        NEARLY_ABANDONED,
        /** The caller was refused before, and has returned when it was told to. */
        RETURNING,
        /** The answer can still be on time. */
        CAN_BE_ON_TIME,
        /** The answer will be late, which has cost its caller most of the value already. */
        LATE
    }

    public Standing {
        checkNotNull(rank);
        checkNotNull(phase);
    }

    @Override
    public int compareTo(Standing other) {
        int byRank = rank.compareTo(other.rank);
        if (byRank != 0) {
            return byRank;
        }
        int byPhase = phase.compareTo(other.phase);
        if (byPhase != 0) {
            return byPhase;
        }
        if (overShare != other.overShare) {
            return overShare ? 1 : -1;
        }
        return Double.compare(slackMillis, other.slackMillis);
    }
}
