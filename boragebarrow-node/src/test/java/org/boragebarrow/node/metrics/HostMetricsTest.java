package org.boragebarrow.node.metrics;

import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

class HostMetricsTest {
    private static final int MAX_ORGANISATIONS = 3;

    private final HostMetrics metrics = new HostMetrics(MAX_ORGANISATIONS);

    @Example
    void organisationsBeyondTheLimitShareOneSeries() {
        IntStream.range(0, 100).parallel().forEach(number -> complete("organisation-" + number));
        long seriesCount = metrics.scrape()
                .lines()
                .filter(line -> line.startsWith("boragebarrow_completed_seconds_count"))
                .count();
        assertThat(seriesCount).isEqualTo(MAX_ORGANISATIONS + 1);
        assertThat(metrics.scrape()).contains("organisation=\"other\"");
    }

    @Example
    void anOrganisationKeepsItsSeriesBeyondTheLimit() {
        for (int number = 0; number < 10; number++) {
            complete("organisation-" + number);
        }
        complete("organisation-0");
        String count = metrics.scrape()
                .lines()
                .filter(line -> line.startsWith("boragebarrow_completed_seconds_count"))
                .filter(line -> line.contains("organisation-0"))
                .findFirst()
                .orElseThrow();
        assertThat(Double.parseDouble(count.substring(count.lastIndexOf(' ')))).isEqualTo(2.0);
    }

    private void complete(String organisation) {
        metrics.completed(OrganisationId.of(organisation), LengthClass.of(1), 1);
    }

    @Example
    void failuresAreCountedByKind() {
        metrics.failed(ErrorKind.OVERLOADED);
        assertThat(metrics.scrape()).contains("boragebarrow_failed_total{kind=\"OVERLOADED\"} 1.0");
    }
}
