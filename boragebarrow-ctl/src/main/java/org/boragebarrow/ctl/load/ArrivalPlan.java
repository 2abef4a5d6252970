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
 * Makes the plan of all requests of a run before it starts.
 *
 * <p>Each class, service mix and flood is a Poisson process with a generator of its own, so that leaving one out
 * doesn't move the others.
 */
public final class ArrivalPlan {
    private static final Comparator<Arrival> ORDER =
            Comparator.comparingLong(Arrival::atNanos).thenComparing(Arrival::id);

    private final Scenario scenario;
    private final List<Arrival> arrivals = new ArrayList<>();

    private ArrivalPlan(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Returns the requests in the order of their times. */
    public static ImmutableList<Arrival> of(Scenario scenario) {
        ArrivalPlan plan = new ArrivalPlan(scenario);
        scenario.classes().forEach(plan::addClass);
        scenario.services().forEach(plan::addService);
        scenario.organisations().forEach(plan::addFlood);
        return ImmutableList.sortedCopyOf(ORDER, plan.arrivals);
    }

    private void addClass(Scenario.PromptClass each) {
        if (!scenario.run().includes(each.name())) {
            return;
        }
        SplittableRandom random = random("class " + each.name());
        Rate rate = scenario.rate();
        double part = each.weight() / total(scenario.classes(), Scenario.PromptClass::weight);
        int number = 0;
        for (long at : times(random, rate.highest() * part, nanos -> rate.at(nanos) * part)) {
            Scenario.Organisation organisation = draw(random, scenario.organisations(), Scenario.Organisation::share);
            String id = each.name() + "-" + number++;
            arrivals.add(new Arrival(id, at, organisation, prompt(random, each)));
        }
    }

    private void addService(Scenario.ServiceMix mix) {
        if (!scenario.run().includes(mix.name())) {
            return;
        }
        SplittableRandom random = random("service " + mix.name());
        Rate rate = scenario.rate();
        int number = 0;
        for (long at : times(random, rate.highest() * mix.share(), nanos -> rate.at(nanos) * mix.share())) {
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
        for (long at : times(random, flood.rate(), flood::at)) {
            Scenario.PromptClass each = draw(random, scenario.classes(), Scenario.PromptClass::weight);
            Arrival.Prompt prompt = prompt(random, each);
            String id = "flood-" + organisation.name() + "-" + number++;
            if (scenario.run().includes(each.name())) {
                arrivals.add(new Arrival(id, at, organisation, prompt));
            }
        }
    }

    private static Arrival.Prompt prompt(SplittableRandom random, Scenario.PromptClass each) {
        int promptTokens = each.promptTokens().draw(random);
        int maxTokens = each.maxTokens().draw(random);
        return new Arrival.Prompt(each.name(), promptTokens, maxTokens, each.timeout());
    }

    private SplittableRandom random(String process) {
        return new SplittableRandom(Hashing.murmur3_128()
                .newHasher()
                .putLong(scenario.run().seed())
                .putString(process, StandardCharsets.UTF_8)
                .hash()
                .asLong());
    }

    /** Draws the times of a Poisson process of a varying rate, by thinning one of the highest rate. */
    private List<Long> times(SplittableRandom random, double highest, LongToDoubleFunction rate) {
        List<Long> times = new ArrayList<>();
        long end = scenario.run().length().toNanos();
        long at = nextTime(random, 0, highest);
        while (at < end) {
            if (random.nextDouble() * highest < rate.applyAsDouble(at)) {
                times.add(at);
            }
            at = nextTime(random, at, highest);
        }
        return times;
    }

    private static long nextTime(SplittableRandom random, long at, double highest) {
        return at + Rate.nanos(-Math.log1p(-random.nextDouble()) / highest);
    }

    private static <T> double total(List<T> items, ToDoubleFunction<T> weight) {
        return items.stream().mapToDouble(weight).sum();
    }

    private static <T> T draw(SplittableRandom random, List<T> items, ToDoubleFunction<T> weight) {
        double left = random.nextDouble() * total(items, weight);
        for (T item : items) {
            left -= weight.applyAsDouble(item);
            if (left < 0) {
                return item;
            }
        }
        return items.get(items.size() - 1);
    }
}
