package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;

class RetryQuotaTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final ServiceName OTHER = ServiceName.of("other");
    private static final long SECOND = 1_000_000_000L;

    @Example
    void allHostsTogetherStayWithinTheBoundWhileAllRequestsFail() {
        int hosts = 9;
        double ratio = 0.2;
        int slack = 106;
        Random random = new Random(5);
        List<RetryQuota> quotas = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            quotas.add(new RetryQuota(ratio, slack, Duration.ofSeconds(10), hosts));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 60 * SECOND; now += SECOND / 50) {
            RetryQuota quota = quotas.get(random.nextInt(hosts));
            quota.onRequest(SERVICE, now);
            requests.add(now);
            if (quota.tryRetry(SERVICE, now)) {
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
    void retriesOfOneServiceDoNotCountAgainstAnother() {
        RetryQuota quota = new RetryQuota(0, 10, Duration.ofSeconds(10), 2);

        assertThat(quota.tryRetry(SERVICE, 0)).isTrue();
        assertThat(quota.tryRetry(SERVICE, 0)).isTrue();
        assertThat(quota.tryRetry(SERVICE, 0)).isTrue();
        assertThat(quota.tryRetry(SERVICE, 0)).isFalse();
        assertThat(quota.tryRetry(OTHER, 0)).isTrue();
    }

    @Example
    void theQuotaIsRestoredAfterTheWindow() {
        RetryQuota quota = new RetryQuota(0, 2, Duration.ofSeconds(10), 1);

        assertThat(quota.tryRetry(SERVICE, 0)).isTrue();
        assertThat(quota.tryRetry(SERVICE, 9 * SECOND)).isFalse();
        assertThat(quota.tryRetry(SERVICE, 11 * SECOND)).isTrue();
    }

    @Example
    void moreHostsReduceTheQuotaOfEach() {
        RetryQuota quota = new RetryQuota(0, 10, Duration.ofSeconds(10), 1);
        quota.setHostCount(10);

        assertThat(quota.tryRetry(SERVICE, 0)).isFalse();
    }

    @Example
    void newLimitsAlsoApplyToEarlierRetries() {
        RetryQuota quota = new RetryQuota(0, 10, Duration.ofSeconds(10), 1);
        quota.tryRetry(SERVICE, 0);
        quota.tryRetry(SERVICE, 0);
        quota.setLimits(0, 4, Duration.ofSeconds(5));

        assertThat(quota.tryRetry(SERVICE, SECOND)).isFalse();
        assertThat(quota.tryRetry(SERVICE, 6 * SECOND)).isTrue();
    }
}
