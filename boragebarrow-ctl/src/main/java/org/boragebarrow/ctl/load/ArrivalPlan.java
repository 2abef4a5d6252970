package org.boragebarrow.ctl.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import java.util.function.ToDoubleFunction;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;

/**
 * Plans all requests of a run before it starts.
 *
 * <p>Each class, service mix and flood is a Poisson process with its own random number generator, so that
 * excluding one doesn't change the times and sizes of the others' requests.
 */
public final class ArrivalPlan {
    private static final Comparator<Arrival> BY_TIME =
            Comparator.comparingLong(Arrival::intendedNanos).thenComparing(Arrival::id);

    private final Scenario scenario;
    private final List<Arrival> arrivals = new ArrayList<>();

    private ArrivalPlan(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Returns the requests of the scenario, sorted by time. */
    public static ImmutableList<Arrival> of(Scenario scenario) {
        ArrivalPlan plan = new ArrivalPlan(scenario);
        scenario.classes().forEach(plan::addClass);
        scenario.services().forEach(plan::addService);
        scenario.organisations().forEach(plan::addFlood);
        return ImmutableList.sortedCopyOf(BY_TIME, plan.arrivals);
    }

    private void addClass(Scenario.PromptClass promptClass) {
        if (!scenario.run().includes(promptClass.name())) {
            return;
        }
        SplittableRandom random = random("class " + promptClass.name());
        Rate rate = scenario.rate();
        double fraction = promptClass.weight() / totalWeight(scenario.classes(), Scenario.PromptClass::weight);
        int number = 0;
        for (long at : times(random, rate.maximum() * fraction, nanos -> rate.at(nanos) * fraction)) {
            Scenario.Organisation organisation = draw(random, scenario.organisations(), Scenario.Organisation::share);
            String id = promptClass.name() + "-" + number++;
            arrivals.add(new Arrival(id, at, organisation, prompt(random, promptClass)));
        }
    }

    private void addService(Scenario.ServiceMix mix) {
        if (!scenario.run().includes(mix.name())) {
            return;
        }
        SplittableRandom random = random("service " + mix.name());
        Rate rate = scenario.rate();
        int number = 0;
        for (long at :
                times(random, rate.maximum() * mix.callsPerPrompt(), nanos -> rate.at(nanos) * mix.callsPerPrompt())) {
            Scenario.Organisation organisation = draw(random, scenario.organisations(), Scenario.Organisation::share);
            arrivals.add(new Arrival(mix.name() + "-" + number, at, organisation, new Arrival.Call(mix, number)));
            number++;
        }
    }

    private void addFlood(Scenario.Organisation organisation) {
        if (organisation.flood().isEmpty()) {
            return;
        }
        Scenario.Flood flood = organisation.flood().get();
        SplittableRandom random = random("flood " + organisation.name());
        int number = 0;
        for (long at : times(random, flood.rate(), flood::rateAt)) {
            Scenario.PromptClass promptClass = draw(random, scenario.classes(), Scenario.PromptClass::weight);
            Arrival.Prompt prompt = prompt(random, promptClass);
            String id = "flood-" + organisation.name() + "-" + number++;
            if (scenario.run().includes(promptClass.name())) {
                arrivals.add(new Arrival(id, at, organisation, prompt));
            }
        }
    }

    private static Arrival.Prompt prompt(SplittableRandom random, Scenario.PromptClass promptClass) {
        int promptTokens = promptClass.promptTokens().draw(random);
        int maxTokens = promptClass.maxTokens().draw(random);
        return new Arrival.Prompt(promptClass.name(), promptTokens, maxTokens, promptClass.timeout());
    }

    private SplittableRandom random(String process) {
        return new SplittableRandom(Hashing.murmur3_128()
                .newHasher()
                .putLong(scenario.run().seed())
                .putString(process, StandardCharsets.UTF_8)
                .hash()
                .asLong());
    }

    /** Draws the event times of a Poisson process of varying rate, by thinning a process of the maximum rate. */
    private List<Long> times(SplittableRandom random, double maxRate, LongToDoubleFunction rate) {
        List<Long> times = new ArrayList<>();
        long end = scenario.run().duration().toNanos();
        long at = nextTime(random, 0, maxRate);
        while (at < end) {
            if (random.nextDouble() * maxRate < rate.applyAsDouble(at)) {
                times.add(at);
            }
            at = nextTime(random, at, maxRate);
        }
        return times;
    }

    private static long nextTime(SplittableRandom random, long at, double rate) {
        return at + Rate.nanos(-Math.log1p(-random.nextDouble()) / rate);
    }

    private static <T> double totalWeight(List<T> items, ToDoubleFunction<T> weight) {
        return items.stream().mapToDouble(weight).sum();
    }

    private static <T> T draw(SplittableRandom random, List<T> items, ToDoubleFunction<T> weight) {
        double remainder = random.nextDouble() * totalWeight(items, weight);
        for (T item : items) {
            remainder -= weight.applyAsDouble(item);
            if (remainder < 0) {
                return item;
            }
        }
        return items.get(items.size() - 1);
    }
}
