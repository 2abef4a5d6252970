package org.boragebarrow.standins;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** The command line program that runs stand-ins for external systems. */
@Cli(
        name = "standins",
        description = "stand-ins of the platform, the model engines and the plain services",
        defaultCommand = Help.class,
        commands = {RunCommand.class, Help.class})
public final class Standins {
    private static final int FAILURE = 1;
    private static final int USAGE = 2;

    private Standins() {}

    /** Runs the command that the arguments specify; exits with status 2 for wrong usage and 1 for other failures. */
    public static void main(String[] args) {
        try {
            new com.github.rvesse.airline.Cli<Runnable>(Standins.class)
                    .parse(args)
                    .run();
        } catch (ParseException e) {
            exit(USAGE, e);
        } catch (RuntimeException e) {
            exit(FAILURE, e);
        }
    }

    private static void exit(int status, RuntimeException failure) {
        System.err.println("standins: " + failure.getMessage());
        System.exit(status);
    }
}
