package org.boragebarrow.ctl.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.LengthClass;

/** What a run's results come to; requests of the warm-up don't count but in the series. */
final class LoadStatistics {
    private final Scenario scenario;
    private final AnswerJudge judge;
    private final TreeMap<Group, GroupStatistics> groups = new TreeMap<>();
    private final WorkSeries series;
    private long largestLagNanos;

    private LoadStatistics(Scenario scenario) {
        this.scenario = scenario;
        this.judge = new AnswerJudge(scenario.run());
        this.series = new WorkSeries(scenario.run().length());
    }

    static LoadStatistics of(Scenario scenario, List<Result> results) {
        LoadStatistics statistics = new LoadStatistics(scenario);
        results.forEach(statistics::add);
        return statistics;
    }

    private void add(Result result) {
        Outcome outcome = judge.judge(result);
        Arrival arrival = result.arrival();
        series.add(result, outcome);
        if (arrival.atNanos() < scenario.run().warmUp().toNanos()) {
            return;
        }
        largestLagNanos = Math.max(largestLagNanos, result.sentNanos() - arrival.atNanos());
        String work = workOf(arrival);
        String organisation = arrival.organisation().name().value();
        group(new Group(work, organisation)).add(result, outcome);
        group(new Group(work, Group.ALL)).add(result, outcome);
        group(new Group(Group.ALL, organisation)).add(result, outcome);
        group(new Group(Group.ALL, Group.ALL)).add(result, outcome);
    }

    private GroupStatistics group(Group group) {
        return groups.computeIfAbsent(group, key -> new GroupStatistics());
    }

    private static String workOf(Arrival arrival) {
        return switch (arrival.work()) {
            case Arrival.Prompt prompt -> LengthClass.of(prompt.promptTokens()).name();
            case Arrival.Call call -> "service " + call.mix().name();
        };
    }

    ImmutableSortedMap<Group, GroupStatistics> groups() {
        return ImmutableSortedMap.copyOf(groups);
    }

    WorkSeries series() {
        return series;
    }

    /** Returns by how much the latest request was sent too late. */
    long largestLagNanos() {
        return largestLagNanos;
    }

    private double countedSeconds() {
        Scenario.Run run = scenario.run();
        return Rate.seconds(run.length().minus(run.warmUp()).toNanos());
    }

    /** Returns the tokens of prompts and answers that were finished in time, per second. */
    double goodputTokens() {
        return group(new Group(Group.ALL, Group.ALL)).finishedTokens() / countedSeconds();
    }

    /** Returns the part of the offered tokens that was finished in time. */
    double finishedPart() {
        GroupStatistics all = group(new Group(Group.ALL, Group.ALL));
        return all.offeredTokens() == 0 ? 1 : (double) all.finishedTokens() / all.offeredTokens();
    }

    /** Returns the work from the end of the swing to the end of the run, if the rate swings. */
    Optional<Crest> crest() {
        Rate rate = scenario.rate();
        if (rate.base() == rate.crest()) {
            return Optional.empty();
        }
        int from = (int) Math.ceil(
                Rate.seconds(rate.swingStart().plus(rate.swingLength()).toNanos()));
        int seconds = series.offered().length() - from;
        if (seconds <= 0) {
            return Optional.empty();
        }
        return Optional.of(new Crest(
                perSecond(series.offered(), from),
                perSecond(series.finishedOfOffered(), from),
                perSecond(series.finished(), from)));
    }

    private static double perSecond(ImmutableLongArray tokens, int from) {
        return tokens.subArray(from, tokens.length()).stream().average().orElse(0);
    }

    /** Returns Jain's index over what organisations got of their weighted max-min fair shares of the finished work. */
    double jainIndex() {
        ImmutableList<Scenario.Organisation> all = scenario.organisations();
        double[] demands = new double[all.size()];
        double[] weights = new double[all.size()];
        double[] finished = new double[all.size()];
        double total = 0;
        for (int i = 0; i < all.size(); i++) {
            GroupStatistics group = group(new Group(Group.ALL, all.get(i).name().value()));
            demands[i] = group.offeredTokens();
            weights[i] = all.get(i).weight();
            finished[i] = group.finishedTokens();
            total += finished[i];
        }
        double[] shares = Fairness.maxMinShares(total, demands, weights);
        List<Double> parts = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            if (shares[i] > 0) {
                parts.add(finished[i] / shares[i]);
            }
        }
        return Fairness.jainIndex(parts);
    }
}
