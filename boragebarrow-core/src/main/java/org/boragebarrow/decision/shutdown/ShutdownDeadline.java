package org.boragebarrow.decision.shutdown;

import java.time.Duration;
import java.util.Optional;

import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * The time by which a stopping host must have answered all requests.
 *
 * <p>Immutable. A request that cannot end by then is better refused as not run while its caller has time left for
 * another host. Load pattern: long prompts wait for targets when a host is stopped.
 *
 * @param nanos the time in monotonic nanoseconds
 */
public record ShutdownDeadline(long nanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns a deadline at the given monotonic time in nanoseconds. */
    public static ShutdownDeadline at(long nanos) {
        return new ShutdownDeadline(nanos);
    }

    /**
     * Returns the shortest time that a target needs for a request, which is zero where nothing is known about it.
     *
     * @param profile the speed of the service's engines, if its targets are engines
     * @param size the size of the prompt, if the caller states it
     * @param engines the number of engines that may prefill the prompt
     */
    public static Duration shortestService(Optional<EngineProfile> profile, Optional<PromptSize> size, int engines) {
        if (profile.isEmpty() || size.isEmpty()) {
            return Duration.ZERO;
        }
        double prefill = profile.get().shortestPrefillMillis(size.get().promptTokens(), engines);
        return ofMillis(prefill + answerMillis(profile.get(), size.get()));
    }

    private static double answerMillis(EngineProfile profile, PromptSize size) {
        return profile.answerMillis(size.promptTokens(), size.answerTokens());
    }

    private static Duration ofMillis(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    /**
     * Returns how long a request may wait for a target and still end in time; negative if it can no longer do so.
     *
     * @param service the time that a target needs for the request
     */
    public Duration longestWait(Duration service, long now) {
        return Duration.ofNanos(nanos - now).minus(service);
    }

    /**
     * Returns whether a request can end in time at the target that it was assigned.
     *
     * @param timeToFirstEvent the predicted time from now to the first event
     */
    public boolean allowsSending(
            Duration timeToFirstEvent, Optional<EngineProfile> profile, Optional<PromptSize> size, long now) {
        double answer = profile.isPresent() && size.isPresent() ? answerMillis(profile.get(), size.get()) : 0;
        Duration service = timeToFirstEvent.plus(ofMillis(answer));
        return !longestWait(service, now).isNegative();
    }
}
