package org.boragebarrow.trials.soak;

import java.time.Duration;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Runs soak tests from the command line; exits with status 1 if an invariant was violated, 2 on a usage error. */
@Command(name = "soak", description = "Runs load and faults against a deployment and checks its invariants")
public final class SoakMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_VIOLATIONS = 1;
    private static final long SECONDS_PER_MINUTE = 60;

    @Option(name = "--seed", description = "The seed of the first run (default: 1)")
    private long seed = 1;

    @Option(name = "--minutes", description = "The length of each run (default: 2)")
    private double minutes = 2;

    @Option(name = "--runs", description = "The number of runs, each with the next seed (default: 1)")
    private int runs = 1;

    /** Runs the soak tests that the arguments specify. */
    public static void main(String[] arguments) {
        try {
            SoakMain command = SingleCommand.singleCommand(SoakMain.class).parse(arguments);
            System.exit(command.run() ? 0 : EXIT_VIOLATIONS);
        } catch (ParseException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private boolean run() {
        boolean passed = true;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            Soak.Report report = Soak.run(runSeed, Duration.ofSeconds(Math.round(minutes * SECONDS_PER_MINUTE)));
            print(report);
            passed &= report.violations().isEmpty();
        }
        return passed;
    }

    private static void print(Soak.Report report) {
        System.out.println("seed " + report.seed() + ": " + report.violations().size() + " violations");
        report.outcomes().forEach(outcome -> System.out.println("  " + outcome));
        System.out.println("  faults:");
        report.faults().forEach(fault -> System.out.println("    " + fault));
        if (report.violations().isEmpty()) {
            return;
        }
        report.violations().forEach(violation -> System.out.println("  VIOLATION " + violation));
        System.out.println("  trace:");
        report.trace().forEach(line -> System.out.println("    " + line));
    }
}
