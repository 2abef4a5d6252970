package org.boragebarrow.decision.returning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.truth.Truth.assertThat;

class ReturnBookTest {
    private static final double PER_MILLI = 0.02;
    private static final Duration LIMIT = Duration.ofSeconds(12);

    private final ReturnBook book = new ReturnBook();

    private Duration book(long key, int rank, Duration remaining) {
        return book.book(
                new ReturnBook.Caller(key, UrgencyRank.of(rank), false, remaining), PER_MILLI, Duration.ZERO, 0);
    }

    @Property(tries = 200, seed = "3")
    void callersReturnBeforeAThirdOfTheirTimeHasPassed(@ForAll long seed) {
        Random random = new Random(seed);
        long now = random.nextLong() / 4;
        ReturnBook other = new ReturnBook();
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(40_000_000);
            Duration remaining = Duration.ofMillis(random.nextInt(70_000) - 100);
            ReturnBook.Caller caller = new ReturnBook.Caller(
                    random.nextInt(200), UrgencyRank.of(random.nextInt(10)), random.nextBoolean(), remaining);
            Duration earliest = Duration.ofMillis(random.nextInt(3_000));
            Duration delay = other.book(caller, random.nextDouble() + 1e-4, earliest, now);

            assertThat(delay).isAtLeast(Duration.ZERO);
            assertThat(delay).isAtMost(SpreadDelays.longest(remaining));
        }
    }

    @Example
    void placesAreAsFarApartAsRoomComesFree() {
        List<Long> times = new ArrayList<>();
        for (int key = 1; key <= 80; key++) {
            times.add(book(key, 5, LIMIT).toMillis());
        }

        // 20 callers a second, and 4 s until the longest delay.
        for (int from = 0; from < 3_500; from += 100) {
            int start = from;
            assertThat(times.stream()
                            .filter(at -> at >= start && at < start + 500)
                            .count())
                    .isAtMost(12);
        }
    }

    @Example
    void moreUrgentCallersAreNotDelayedByLessUrgentOnes() {
        for (int key = 1; key <= 60; key++) {
            book(key, 9, LIMIT);
        }

        assertThat(book(100, 0, LIMIT)).isLessThan(Duration.ofMillis(100));
        assertThat(book(101, 9, LIMIT)).isGreaterThan(Duration.ofMillis(2_000));
    }

    @Example
    void aCallerThatRepeatsEarlyKeepsItsPlaceAndGainsNothing() {
        for (int key = 1; key <= 20; key++) {
            book(key, 5, LIMIT);
        }
        long first = book(7, 5, LIMIT).toNanos();
        assertThat(book.claim(7, first / 2)).isFalse();
        assertThat(book(7, 5, LIMIT).toNanos()).isEqualTo(first);

        assertThat(book.claim(7, first)).isTrue();
        assertThat(book.claim(7, first)).isFalse();
    }

    @Example
    void aCallerThatComesMuchLaterHasLostItsPlace() {
        long at = book(1, 5, LIMIT).toNanos();

        assertThat(book.claim(1, at + Duration.ofSeconds(3).toNanos())).isFalse();
    }

    @Example
    void theNumberOfKnownCallersIsBounded() {
        for (int key = 1; key <= 3 * ReturnBook.MAX_CALLERS; key++) {
            book.book(new ReturnBook.Caller(key, UrgencyRank.DEFAULT, false, LIMIT), 10, Duration.ZERO, key * 1_000L);
        }

        assertThat(book.size()).isAtMost(ReturnBook.MAX_CALLERS);
    }

    @Example
    void delaysOfHostsWithoutAnAssignerDiffer() {
        SpreadDelays delays = new SpreadDelays(5);
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            times.add(delays.next(LIMIT).toMillis());
        }

        assertThat(times).containsNoDuplicates();
        for (long millis : times) {
            assertThat(millis).isAtLeast(LIMIT.toMillis() / 6);
            assertThat(millis).isAtMost(LIMIT.toMillis() / 3);
        }
    }
}
