package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * Measures how often unrelated crashes convict a sound part, and after how many crashes a deadly one is convicted, by replays at
 * the rates of the sites in use.
 *
 * <p>Run with the number of seeds of each row as the argument.
 */
final class CrashOdds {
    private static final Duration DAY = Duration.ofSeconds(40);
    private static final int DEFAULT_SEEDS = 200;

    /** The targets, hosts and requests a second of a site. */
    private record Site(String name, int targets, int hosts, double shortRate, double longRate) {}

    private static final List<Site> SITES = List.of(
            new Site("kgn-roll", 14, 9, 17.3, 0.448),
            new Site("kifaru-gaskets", 16, 6, 19.7, 0.513),
            new Site("kgn-roll-grown", 45, 88, 43.9, 0.999),
            new Site("kifaru-gaskets-grown", 54, 86, 52.8, 1.2),
            new Site("kgn-roll-large", 112, 95, 93.7, 1.92),
            new Site("kgn-roll at a tenth of its load", 14, 9, 1.73, 0.0448),
            new Site("kgn-roll at a hundredth of its load", 14, 9, 0.173, 0.00448));

    private CrashOdds() {}

    /** Prints two tables. */
    public static void main(String[] arguments) {
        int seeds = arguments.length == 0 ? DEFAULT_SEEDS : Integer.parseInt(arguments[0]);
        System.out.println(
                "| site | targets that crash, each 2 s | days with a sound part convicted | crashes noticed a day |");
        for (Site site : SITES) {
            for (double share : new double[] {0.05, 0.17, 0.5}) {
                printFalseConvictions(site, share, seeds);
            }
        }
        System.out.println(
                "| site | deadly requests | crashes until convicted: mean, most | days without | late arrivals: most |");
        for (Site site : SITES) {
            for (double seconds : new double[] {0.2, 1, 5, 60, 900}) {
                printTrueConvictions(site, seconds, Math.max(1, seeds / 10));
            }
        }
    }

    private static void printFalseConvictions(Site site, double share, int seeds) {
        int days = 0;
        long crashes = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SimulatedCrashes simulation = new SimulatedCrashes(site.targets(), site.hosts(), seed);
            simulation.sendRequests(site.shortRate(), DAY);
            simulation.sendLongRequests(site.longRate(), DAY);
            for (int second = 2; second < DAY.toSeconds(); second += 2) {
                simulation.crashTargets(share, Duration.ofSeconds(second));
            }
            simulation.run(DAY);
            days += simulation.convictedParts().isEmpty() ? 0 : 1;
            crashes += simulation.noticedCrashes();
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %.0f %% | %d of %d | %.1f |%n",
                site.name(),
                100 * share,
                days,
                seeds,
                (double) crashes / seeds);
    }

    private static void printTrueConvictions(Site site, double intervalSeconds, int seeds) {
        Duration interval = Duration.ofMillis((long) (intervalSeconds * 1_000));
        Duration time = interval.multipliedBy(30).plus(Duration.ofSeconds(10));
        long crashes = 0;
        long most = 0;
        long late = 0;
        int without = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SimulatedCrashes simulation = new SimulatedCrashes(site.targets(), site.hosts(), seed);
            simulation.disableRetries();
            // Where deadly requests are far apart, sound ones are too, so that a replay ends.
            simulation.sendRequests(Math.min(site.shortRate(), 30 / intervalSeconds), time);
            simulation.sendDeadlyRequests(interval, time);
            simulation.run(time);
            without += simulation.convictedParts().contains("dead") ? 0 : 1;
            crashes += simulation.deadlyCrashes();
            most = Math.max(most, simulation.deadlyCrashes());
            late = Math.max(late, simulation.deadlyArrivalsAfterFifthCrash(Duration.ofSeconds(3)));
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | one each %.1f s | %.1f, %d | %d of %d | %d |%n",
                site.name(),
                intervalSeconds,
                (double) crashes / seeds,
                most,
                without,
                seeds,
                late);
    }
}
