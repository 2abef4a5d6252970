package org.boragebarrow.standins.platform;

import java.time.Duration;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class ModelLoadLimiterTest {
    private static final long MINUTE = Duration.ofMinutes(1).toNanos();

    private final ModelLoadLimiter limiter = new ModelLoadLimiter(2);

    @Example
    void noMoreLoadsThanTheLimitAreAllowedInAMinute() {
        assertThat(limiter.tryAcquire(0)).isTrue();
        assertThat(limiter.tryAcquire(1)).isTrue();
        assertThat(limiter.tryAcquire(MINUTE - 1)).isFalse();
    }

    @Example
    void aLoadIsAllowedAgainOnceTheFirstIsAMinuteOld() {
        limiter.tryAcquire(0);
        limiter.tryAcquire(1);
        assertThat(limiter.remaining(MINUTE)).isEqualTo(1);
        assertThat(limiter.tryAcquire(MINUTE)).isTrue();
        assertThat(limiter.tryAcquire(MINUTE)).isFalse();
    }
}
