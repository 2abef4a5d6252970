package org.boragebarrow.ctl.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.LengthClass;

/** Statistics of the results of a run; requests of the warm-up are counted in the series only. */
final class LoadStatistics {
    private final Scenario scenario;
    private final OutcomeClassifier classifier;
    private final TreeMap<Group, GroupStatistics> groups = new TreeMap<>();
    private final ThroughputSeries series;
    private long maxSendLagNanos;

    private LoadStatistics(Scenario scenario) {
        this.scenario = scenario;
        this.classifier = new OutcomeClassifier(scenario.run());
        this.series = new ThroughputSeries(scenario.run().duration());
    }

    static LoadStatistics of(Scenario scenario, List<Result> results) {
        LoadStatistics statistics = new LoadStatistics(scenario);
        results.forEach(statistics::add);
        return statistics;
    }

    private void add(Result result) {
        Outcome outcome = classifier.classify(result);
        Arrival arrival = result.arrival();
        series.add(result, outcome);
        if (arrival.intendedNanos() < scenario.run().warmUp().toNanos()) {
            return;
        }
        maxSendLagNanos = Math.max(maxSendLagNanos, result.sentNanos() - arrival.intendedNanos());
        String work = workName(arrival);
        String organisation = arrival.organisation().name().value();
        group(new Group(work, organisation)).add(result, outcome);
        group(new Group(work, Group.ALL)).add(result, outcome);
        group(new Group(Group.ALL, organisation)).add(result, outcome);
        group(new Group(Group.ALL, Group.ALL)).add(result, outcome);
    }

    private GroupStatistics group(Group group) {
        return groups.computeIfAbsent(group, key -> new GroupStatistics());
    }

    private static String workName(Arrival arrival) {
        return switch (arrival.work()) {
            case Arrival.Prompt prompt -> LengthClass.of(prompt.promptTokens()).name();
            case Arrival.Call call -> "service " + call.mix().name();
        };
    }

    ImmutableSortedMap<Group, GroupStatistics> groups() {
        return ImmutableSortedMap.copyOf(groups);
    }

    ThroughputSeries series() {
        return series;
    }

    /** Returns the maximum time by which a request was sent after its intended time. */
    long maxSendLagNanos() {
        return maxSendLagNanos;
    }

    private double measuredSeconds() {
        Scenario.Run run = scenario.run();
        return Rate.seconds(run.duration().minus(run.warmUp()).toNanos());
    }

    /** Returns the tokens per second of prompts and responses that were completed in time. */
    double goodputTokensPerSecond() {
        return group(new Group(Group.ALL, Group.ALL)).finishedTokens() / measuredSeconds();
    }

    /** Returns the fraction of the offered tokens that was completed in time; 1 if none were offered. */
    double finishedFraction() {
        GroupStatistics totals = group(new Group(Group.ALL, Group.ALL));
        return totals.offeredTokens() == 0 ? 1 : (double) totals.finishedTokens() / totals.offeredTokens();
    }

    /**
     * Returns the throughput from the end of the ramp to the end of the run.
     *
     * <p>Empty if the rate is constant or the run ends no later than the ramp.
     */
    Optional<PeakThroughput> peakThroughput() {
        Rate rate = scenario.rate();
        if (rate.base() == rate.peak()) {
            return Optional.empty();
        }
        int fromSecond = (int) Math.ceil(
                Rate.seconds(rate.rampStart().plus(rate.rampDuration()).toNanos()));
        int seconds = series.offered().length() - fromSecond;
        if (seconds <= 0) {
            return Optional.empty();
        }
        return Optional.of(new PeakThroughput(
                perSecond(series.offered(), fromSecond),
                perSecond(series.finishedOfOffered(), fromSecond),
                perSecond(series.finished(), fromSecond)));
    }

    private static double perSecond(ImmutableLongArray tokens, int fromSecond) {
        return tokens.subArray(fromSecond, tokens.length()).stream().average().orElse(0);
    }

    /**
     * Returns Jain's index of the organisations' finished tokens, relative to their fair shares.
     *
     * <p>A fair share is the weighted max-min fair share of all finished tokens.
     */
    double jainIndex() {
        ImmutableList<Scenario.Organisation> organisations = scenario.organisations();
        double[] demands = new double[organisations.size()];
        double[] weights = new double[organisations.size()];
        double[] finished = new double[organisations.size()];
        double total = 0;
        for (int i = 0; i < organisations.size(); i++) {
            GroupStatistics group =
                    group(new Group(Group.ALL, organisations.get(i).name().value()));
            demands[i] = group.offeredTokens();
            weights[i] = organisations.get(i).weight();
            finished[i] = group.finishedTokens();
            total += finished[i];
        }
        double[] shares = Fairness.maxMinShares(total, demands, weights);
        List<Double> fractions = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            if (shares[i] > 0) {
                fractions.add(finished[i] / shares[i]);
            }
        }
        return Fairness.jainIndex(fractions);
    }
}
