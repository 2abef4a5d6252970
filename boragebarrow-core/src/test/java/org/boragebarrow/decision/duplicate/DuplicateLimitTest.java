package org.boragebarrow.decision.duplicate;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;

class DuplicateLimitTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final long WINDOW = DuplicateLimit.WINDOW.toNanos();

    private static Optional<OrganisationId> organisation(int number) {
        return Optional.of(OrganisationId.of("organisation-" + number));
    }

    @Property(seed = "3", tries = 60)
    void noWindowHasMoreCopiesThanTheShareOfItsRequests(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 100) int percent) {
        DuplicateLimit limit = new DuplicateLimit();
        limit.setShare(percent / 100.0);
        List<Long> requests = new ArrayList<>();
        List<Long> copies = new ArrayList<>();
        long now = -TimeUnit.SECONDS.toNanos(30);
        for (int i = 0; i < 2_000; i++) {
            now += (long) (random.nextDouble() * TimeUnit.MILLISECONDS.toNanos(random.nextInt(100) == 0 ? 9_000 : 60));
            Optional<OrganisationId> organisation = organisation(random.nextInt(5));
            limit.onRequest(SERVICE, organisation, now);
            requests.add(now);
            if (random.nextInt(3) == 0 && limit.tryAcquire(SERVICE, organisation, now)) {
                copies.add(now);
                long end = now;
                long requested =
                        requests.stream().filter(at -> end - at <= WINDOW).count();
                long copied = copies.stream().filter(at -> end - at <= WINDOW).count();
                assertThat((double) copied).isAtMost(percent / 100.0 * requested);
            }
        }
    }

    @Example
    void organisationsHaveEqualPartsOfTheCopies() {
        DuplicateLimit limit = new DuplicateLimit();
        limit.setShare(0.1);
        for (int i = 0; i < 200; i++) {
            limit.onRequest(SERVICE, organisation(i % 4 == 0 ? 1 : 2), i);
        }
        int first = 0;
        for (int i = 0; i < 20; i++) {
            first += limit.tryAcquire(SERVICE, organisation(1), 200) ? 1 : 0;
        }

        assertThat(first).isEqualTo(10);
        assertThat(limit.tryAcquire(SERVICE, organisation(2), 200)).isTrue();
    }

    @Example
    void withoutAShareOrRequestsNoCopyIsAllowed() {
        DuplicateLimit limit = new DuplicateLimit();
        limit.onRequest(SERVICE, Optional.empty(), 0);
        assertThat(limit.tryAcquire(SERVICE, Optional.empty(), 0)).isFalse();
        limit.setShare(1);

        assertThat(limit.tryAcquire(ServiceName.of("other"), Optional.empty(), 0))
                .isFalse();
        assertThat(limit.tryAcquire(SERVICE, Optional.empty(), 0)).isTrue();
        assertThat(limit.tryAcquire(SERVICE, Optional.empty(), 0)).isFalse();
    }
}
