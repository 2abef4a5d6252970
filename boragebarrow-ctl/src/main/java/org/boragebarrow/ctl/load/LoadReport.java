package org.boragebarrow.ctl.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import org.HdrHistogram.Histogram;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;

/** Prints the statistics of a run and writes them as tables and plots. */
final class LoadReport {
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double NANOS_PER_MILLI = 1_000_000.0;
    private static final int WIDE_CELL_WIDTH = 18;
    private static final int NARROW_CELL_WIDTH = 9;
    private static final Splitter CSV_SPLITTER = Splitter.on(',');

    private final LoadStatistics statistics;

    LoadReport(LoadStatistics statistics) {
        this.statistics = statistics;
    }

    void print(PrintStream out) {
        for (String line : SummaryTable.csv(statistics)) {
            if (!isDetail(line)) {
                out.println(aligned(line));
            }
        }
        GroupStatistics totals = totals();
        totals.errorKinds().entrySet().forEach(entry -> out.println("refused or failed with " + entry));
        out.println(String.format(
                Locale.ROOT,
                "goodput: %.0f tokens/s, %.4f of the offered tokens; Jain's index over organisations: %.4f",
                statistics.goodputTokensPerSecond(),
                statistics.finishedFraction(),
                statistics.jainIndex()));
        statistics.peakThroughput().ifPresent(peak -> out.println(peak));
        out.println(String.format(
                Locale.ROOT, "maximum send lag: %.2f ms", statistics.maxSendLagNanos() / NANOS_PER_MILLI));
    }

    /** Returns whether the row covers a single kind of work of a single organisation. */
    private static boolean isDetail(String line) {
        return !line.startsWith("work,") && !line.contains(Group.ALL + ",");
    }

    private static String aligned(String line) {
        StringBuilder text = new StringBuilder();
        int column = 0;
        for (String cell : CSV_SPLITTER.split(line)) {
            String format = column < 2 ? "%-" + WIDE_CELL_WIDTH + "s" : "%" + width(column) + "s";
            text.append(String.format(Locale.ROOT, format, cell));
            column++;
        }
        return text.toString();
    }

    private static int width(int column) {
        return column <= Outcome.values().length + 2 ? NARROW_CELL_WIDTH : WIDE_CELL_WIDTH - 1;
    }

    private GroupStatistics totals() {
        return statistics.groups().getOrDefault(new Group(Group.ALL, Group.ALL), new GroupStatistics());
    }

    /**
     * Checks that each request ended in time with a complete, correct response or an error.
     *
     * @throws CommandException if any response was cut, wrong or late
     */
    void checkAllCorrect() {
        GroupStatistics totals = totals();
        int faults = totals.count(Outcome.CUT) + totals.count(Outcome.WRONG) + totals.count(Outcome.LATE);
        if (faults > 0) {
            throw new CommandException(ExitCode.FAILED, faults + " responses were cut, wrong or late");
        }
    }

    void write(Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.write(directory.resolve("summary.csv"), SummaryTable.csv(statistics));
        Files.write(directory.resolve("seconds.csv"), statistics.series().csv());
        Files.writeString(directory.resolve("first-token.svg"), firstTokenPlot());
        Files.writeString(directory.resolve("work.svg"), throughputPlot());
    }

    private String firstTokenPlot() {
        List<String> categories = new ArrayList<>();
        List<Double> medians = new ArrayList<>();
        List<Double> p99s = new ArrayList<>();
        statistics.groups().forEach((group, groupStatistics) -> {
            Histogram times = groupStatistics.firstTokenMicros();
            if (group.organisation().equals(Group.ALL) && times.getTotalCount() > 0) {
                categories.add(group.work().equals(Group.ALL) ? "all" : group.work());
                medians.add(times.getValueAtPercentile(50) / MICROS_PER_MILLI);
                p99s.add(times.getValueAtPercentile(99) / MICROS_PER_MILLI);
            }
        });
        return SvgPlot.draw(
                SvgPlot.ChartType.BARS,
                "Time to first token by prompt length",
                "length class",
                "milliseconds",
                ImmutableList.copyOf(categories),
                ImmutableList.of(
                        new SvgPlot.Series("median", ImmutableList.copyOf(medians)),
                        new SvgPlot.Series("99th percentile", ImmutableList.copyOf(p99s))));
    }

    private String throughputPlot() {
        ThroughputSeries series = statistics.series();
        ImmutableList.Builder<String> seconds = ImmutableList.builder();
        for (int i = 0; i < series.offered().length(); i++) {
            seconds.add(Integer.toString(i));
        }
        return SvgPlot.draw(
                SvgPlot.ChartType.LINES,
                "Work offered and finished",
                "seconds since the start",
                "tokens per second",
                seconds.build(),
                ImmutableList.of(
                        new SvgPlot.Series("offered", doubles(series.offered())),
                        new SvgPlot.Series("of these in time", doubles(series.finishedOfOffered())),
                        new SvgPlot.Series("finished in the second", doubles(series.finished()))));
    }

    private static ImmutableList<Double> doubles(ImmutableLongArray values) {
        return values.asList().stream().map(Long::doubleValue).collect(ImmutableList.toImmutableList());
    }
}
