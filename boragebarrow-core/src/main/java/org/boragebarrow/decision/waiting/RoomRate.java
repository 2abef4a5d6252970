package org.boragebarrow.decision.waiting;

import java.time.Duration;
import java.util.OptionalDouble;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The rate at which the places of a service come free, learned from the work that ends.
 *
 * <p>While nothing ends although work waits, the rate falls with the time that has passed: the targets are slower than
 * before.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
public final class RoomRate {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Weight of one answer in the mean time for which a place is held. */
    private static final double GAIN = 0.1;

    /** Number of mean gaps between two ends that may pass without an end before the rate is reduced. */
    private static final double MAX_QUIET_GAPS = 5;

    private OptionalDouble meanMillis = OptionalDouble.empty();
    private long quietSince;

    /** Records that a place came free whose work was answered completely. */
    public void onAnswered(Duration held, long now) {
        double millis = held.toNanos() / NANOS_PER_MILLI;
        meanMillis = OptionalDouble.of(
                meanMillis.isPresent()
                        ? meanMillis.getAsDouble() + GAIN * (millis - meanMillis.getAsDouble())
                        : millis);
        quietSince = now;
    }

    /** Records that a place came free early, which shows nothing of the time that answers take. */
    public void onFreedEarly(long now) {
        quietSince = now;
    }

    /** Records that the first work begins to wait. */
    public void onScarce(long now) {
        quietSince = now;
    }

    /** Returns the mean time for which a place is held, in milliseconds; the expected time if nothing has ended yet. */
    public double holdMillis(Duration expected) {
        return Math.max(1, meanMillis.orElse(expected.toMillis()));
    }

    /**
     * Returns the places that come free per millisecond.
     *
     * @param places the places of the service
     * @param scarce whether work waits because all places are in use, so that places should come free
     * @param expected the time for which a place is held if nothing has ended yet
     */
    public double perMilli(int places, boolean scarce, Duration expected, long now) {
        checkArgument(places > 0, "places must be positive: %s", places);
        double learned = places / holdMillis(expected);
        double quietMillis = (now - quietSince) / NANOS_PER_MILLI;
        boolean slower = scarce && quietMillis * learned > MAX_QUIET_GAPS;
        return slower ? MAX_QUIET_GAPS / quietMillis : learned;
    }
}
