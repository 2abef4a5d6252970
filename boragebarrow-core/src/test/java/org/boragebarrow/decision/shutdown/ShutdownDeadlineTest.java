package org.boragebarrow.decision.shutdown;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.routing.EngineProfile;

import static com.google.common.truth.Truth.assertThat;

class ShutdownDeadlineTest {
    private static final long NOW = 5_000_000_000L;
    private static final Duration LEFT = Duration.ofSeconds(3);
    private static final Optional<EngineProfile> ENGINE =
            Optional.of(new EngineProfile(11, 405_000, 1.31, 0.01, 0.001, 154, 0.16, 2_048, 34, 600));

    private final ShutdownDeadline deadline = ShutdownDeadline.at(NOW + LEFT.toNanos());

    private static Optional<PromptSize> size(long promptTokens, long answerTokens) {
        return Optional.of(new PromptSize(promptTokens, answerTokens));
    }

    @Example
    void workOfUnknownSizeMayWaitUntilTheDeadline() {
        Duration service = ShutdownDeadline.shortestService(ENGINE, Optional.empty(), 14);
        assertThat(deadline.longestWait(service, NOW)).isEqualTo(LEFT);
        assertThat(deadline.allowsSending(LEFT, ENGINE, Optional.empty(), NOW)).isTrue();
    }

    @Example
    void aPromptThatTheEnginesCannotAnswerInTimeMayNotWait() {
        Duration twoEngines = ShutdownDeadline.shortestService(ENGINE, size(182_000, 650), 2);
        Duration sixteenEngines = ShutdownDeadline.shortestService(ENGINE, size(182_000, 650), 16);

        assertThat(deadline.longestWait(twoEngines, NOW)).isLessThan(Duration.ofMillis(400));
        assertThat(deadline.longestWait(sixteenEngines, NOW)).isGreaterThan(Duration.ofSeconds(1));
        assertThat(deadline.longestWait(twoEngines, NOW + LEFT.toNanos())).isLessThan(Duration.ZERO);
    }

    @Example
    void anAnswerThatIsLongToDecodeIsNotBegunShortlyBeforeTheDeadline() {
        Duration first = Duration.ofMillis(100);
        assertThat(deadline.allowsSending(first, ENGINE, size(5_000, 1_300), NOW))
                .isTrue();
        long later = NOW + TimeUnit.SECONDS.toNanos(2);
        assertThat(deadline.allowsSending(first, ENGINE, size(5_000, 1_300), later))
                .isFalse();
    }

    @Property
    void whatMayBeSentMayAlsoWaitWhereTheEngineIsPredictedToTakeTheShortestTime(
            @ForAll @LongRange(max = 1_000_000) long promptTokens,
            @ForAll @LongRange(max = 5_000) long answerTokens,
            @ForAll @IntRange(max = 40) int engines,
            @ForAll @LongRange(max = 4_000_000_000L) long elapsed) {
        Optional<PromptSize> size = size(promptTokens, answerTokens);
        Duration prefill =
                Duration.ofNanos((long) (ENGINE.get().shortestPrefillMillis(promptTokens, engines) * 1e6) + 1);
        Duration service = ShutdownDeadline.shortestService(ENGINE, size, engines);
        if (deadline.allowsSending(prefill, ENGINE, size, NOW + elapsed)) {
            assertThat(deadline.longestWait(service, NOW + elapsed).isNegative())
                    .isFalse();
        }
    }
}
