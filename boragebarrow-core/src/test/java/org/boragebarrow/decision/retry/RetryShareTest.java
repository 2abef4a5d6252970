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
        int slack = 106;
        Random random = new Random(5);
        List<RetryShare> quotas = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            quotas.add(new RetryShare(ratio, slack, Duration.ofSeconds(10), hosts));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 60 * SECOND; now += SECOND / 50) {
            RetryShare quota = quotas.get(random.nextInt(hosts));
            quota.onRequest(SERVICE, now);
            requests.add(now);
            if (quota.tryRepeat(SERVICE, now)) {
                retries.add(now);
            }
        }

        assertThat(retries).isNotEmpty();
        for (long end = 10 * SECOND; end < 60 * SECOND; end += SECOND) {
            long from = end - 10 * SECOND;
            long until = end;
            long requested =
                    requests.stream().filter(at -> at > from && at <= until).count();
            long sent = retries.stream().filter(at -> at > from && at <= until).count();
            assertThat((double) sent).isAtMost(ratio * requested + slack);
        }
    }

    @Example
    void aRepeatForOneServiceTakesNothingFromAnother() {
        RetryShare quota = new RetryShare(0, 10, Duration.ofSeconds(10), 2);

        assertThat(quota.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(quota.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(quota.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(quota.tryRepeat(SERVICE, 0)).isFalse();
        assertThat(quota.tryRepeat(OTHER, 0)).isTrue();
    }

    @Example
    void theShareComesBackAfterTheWindow() {
        RetryShare quota = new RetryShare(0, 2, Duration.ofSeconds(10), 1);

        assertThat(quota.tryRepeat(SERVICE, 0)).isTrue();
        assertThat(quota.tryRepeat(SERVICE, 9 * SECOND)).isFalse();
        assertThat(quota.tryRepeat(SERVICE, 11 * SECOND)).isTrue();
    }

    @Example
    void moreHostsLeaveLessToEach() {
        RetryShare quota = new RetryShare(0, 10, Duration.ofSeconds(10), 1);
        quota.setHosts(10);

        assertThat(quota.tryRepeat(SERVICE, 0)).isFalse();
    }

    @Example
    void newTermsHoldForRepeatsThatWereSentBeforeToo() {
        RetryShare quota = new RetryShare(0, 10, Duration.ofSeconds(10), 1);
        quota.tryRepeat(SERVICE, 0);
        quota.tryRepeat(SERVICE, 0);
        quota.setTerms(0, 4, Duration.ofSeconds(5));

        assertThat(quota.tryRepeat(SERVICE, SECOND)).isFalse();
        assertThat(quota.tryRepeat(SERVICE, 6 * SECOND)).isTrue();
    }
}
