package org.boragebarrow.ctl.load;

import java.util.Locale;
import java.util.Map;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.HdrHistogram.Histogram;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that format the statistics of a run as a CSV table and compare it with that of an earlier run. */
final class SummaryTable {
    private static final ImmutableList<Double> PERCENTILES = ImmutableList.of(50.0, 90.0, 99.0);
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final ImmutableList<String> COMPARED_COLUMNS =
            ImmutableList.of("first_p50_ms", "first_p99_ms", "total_p50_ms", "total_p99_ms");
    private static final Joiner CSV_JOINER = Joiner.on(',');
    private static final Splitter CSV_SPLITTER = Splitter.on(',');
    private static final ImmutableList<String> COLUMNS = ImmutableList.of(
            "work",
            "organisation",
            "requests",
            "ok",
            "refused",
            "failed",
            "cut",
            "wrong",
            "late",
            "first_p50_ms",
            "first_p90_ms",
            "first_p99_ms",
            "first_max_ms",
            "total_p50_ms",
            "total_p90_ms",
            "total_p99_ms",
            "total_max_ms",
            "offered_tokens",
            "finished_tokens");

    private SummaryTable() {}

    static ImmutableList<String> csv(LoadStatistics statistics) {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add(CSV_JOINER.join(COLUMNS));
        statistics
                .groups()
                .forEach((group, groupStatistics) -> lines.add(CSV_JOINER.join(cells(group, groupStatistics))));
        return lines.build();
    }

    private static ImmutableList<String> cells(Group group, GroupStatistics statistics) {
        ImmutableList.Builder<String> cells = ImmutableList.builder();
        cells.add(group.work(), group.organisation(), Integer.toString(statistics.requestCount()));
        for (Outcome outcome : Outcome.values()) {
            cells.add(Integer.toString(statistics.count(outcome)));
        }
        addTimes(cells, statistics.firstTokenMicros());
        addTimes(cells, statistics.totalMicros());
        cells.add(Long.toString(statistics.offeredTokens()), Long.toString(statistics.finishedTokens()));
        return cells.build();
    }

    private static void addTimes(ImmutableList.Builder<String> cells, Histogram times) {
        if (times.getTotalCount() == 0) {
            cells.add("", "", "", "");
            return;
        }
        for (double percentile : PERCENTILES) {
            cells.add(millis(times.getValueAtPercentile(percentile)));
        }
        cells.add(millis(times.getMaxValue()));
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.2f", micros / MICROS_PER_MILLI);
    }

    /**
     * Returns a column of a table by kind of work, from the rows that cover all organisations.
     *
     * <p>Empty cells are skipped.
     */
    static ImmutableMap<String, Double> column(ImmutableList<String> csv, String column) {
        checkArgument(!csv.isEmpty(), "the summary table is empty");
        ImmutableList<String> header = ImmutableList.copyOf(CSV_SPLITTER.split(csv.get(0)));
        int index = header.indexOf(column);
        checkArgument(index >= 0, "the summary table has no column %s", column);
        ImmutableMap.Builder<String, Double> values = ImmutableMap.builder();
        for (String line : csv.subList(1, csv.size())) {
            ImmutableList<String> cells = ImmutableList.copyOf(CSV_SPLITTER.split(line));
            if (cells.get(1).equals(Group.ALL) && !cells.get(index).isEmpty()) {
                values.put(cells.get(0), Double.valueOf(cells.get(index)));
            }
        }
        return values.buildOrThrow();
    }

    /** Returns the ratios of this run's latencies to an earlier run's, one line for each kind of work and column. */
    static ImmutableList<String> slowdowns(ImmutableList<String> current, ImmutableList<String> reference) {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        for (String column : COMPARED_COLUMNS) {
            Map<String, Double> baselines = column(reference, column);
            column(current, column).forEach((work, value) -> {
                Double baseline = baselines.get(work);
                if (baseline != null && baseline > 0) {
                    lines.add(String.format(
                            Locale.ROOT,
                            "slowdown %s %s: %.2f (%.2f against %.2f)",
                            work,
                            column,
                            value / baseline,
                            value,
                            baseline));
                }
            });
        }
        return lines.build();
    }
}
