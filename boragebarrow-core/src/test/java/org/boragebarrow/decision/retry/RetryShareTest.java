package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;

class RetryShareTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final ServiceName OTHER = ServiceName.of("other");
    private static final long SECOND = 1_000_000_000L;

    @Example
    void allHostsTogetherStayBelowTheSharedBudgetWhileEverythingFails() {
        int hosts = 9;
        double ratio = 0.2;
        int allowance = 106;
        Random random = new Random(5);
        List<RetryShare> shares = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            shares.add(new RetryShare(ratio, allowance, Duration.ofSeconds(10), hosts));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        for (long now = 0; now < 60 * SECOND; now += SECOND / 50) {
            RetryShare share = shares.get(random.nextInt(hosts));
            share.onRequest(SERVICE, now);
            requests.add(now);
            if (share.tryRepeat(SERVICE, now)) {
                repeats.add(now);
            }
        }

        assertThat(repeats).isNotEmpty();
        for (long end = 10 * SECOND; end < 60 * SECOND; end += SECOND) {
            long from = end - 10 * SECOND;
            long until = end;
            long asked =
                    requests.stream().filter(at -> at > from && at <= until).count();
            long sent = repeats.stream().filter(at -> at > from && at <= until).count();
            assertThat((double) sent).isAtMost(ratio * asked + allowance);
        }
    }

    @Example
    void aRepeatForOneServiceTakesNothingFromAnother() {
        RetryShare share = new RetryShare(0, 10, Duration.ofSeconds(10), 2);

        assertThat(share.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(share.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(share.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(share.tryRepeat(SERVICE, 0)).isFalse();
        assertThat(share.tryRepeat(OTHER, 0)).isTrue();
    }

    @Example
    void theShareComesBackAfterTheWindow() {
        RetryShare share = new RetryShare(0, 2, Duration.ofSeconds(10), 1);

        assertThat(share.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(share.tryRepeat(SERVICE, 9 * SECOND)).isFalse();
        assertThat(share.tryRepeat(SERVICE, 11 * SECOND)).isTrue();
    }

    @Example
    void moreHostsLeaveLessToEach() {
        RetryShare share = new RetryShare(0, 10, Duration.ofSeconds(10), 1);
        share.setHosts(10);

        assertThat(share.tryRepeat(SERVICE, 0)).isFalse();
    }

    @Example
    void newTermsHoldForRepeatsThatWereSentBeforeToo() {
        RetryShare share = new RetryShare(0, 10, Duration.ofSeconds(10), 1);
        share.tryRepeat(SERVICE, 0);
        share.tryRepeat(SERVICE, 0);
        share.setTerms(0, 4, Duration.ofSeconds(5));

        assertThat(share.tryRepeat(SERVICE, SECOND)).isFalse();
        assertThat(share.tryRepeat(SERVICE, 6 * SECOND)).isTrue();
    }
}
