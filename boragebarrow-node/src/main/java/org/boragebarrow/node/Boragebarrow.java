package org.boragebarrow.node;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** The command-line entry point of a host. */
public final class Boragebarrow {
    /** Exit code for an invalid command line or invalid settings. */
    static final int USAGE = 2;

    @SuppressWarnings("unchecked")
    private static final Cli<Runnable> CLI = Cli.<Runnable>builder("boragebarrow")
            .withDescription("Runs one entry host of the serving layer")
            .withDefaultCommand(BoragebarrowHelp.class)
            .withCommands(BoragebarrowHelp.class, RunCommand.class, CheckSettingsCommand.class)
            .withCommand(PrintSettingsCommand.class)
            .build();

    private Boragebarrow() {}

    /** Runs the command named by the arguments; exits with a non-zero code if it fails. */
    public static void main(String[] arguments) {
        String[] effectiveArguments =
                arguments.length > 0 && arguments[0].equals("--help") ? new String[] {"help"} : arguments;
        try {
            CLI.parse(effectiveArguments).run();
        } catch (ParseException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(USAGE);
        } catch (CommandException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(e.exitCode());
        }
    }

    /** Prints help. A non-generic subclass is needed because Airline's {@link Help} is generic. */
    @com.github.rvesse.airline.annotations.Command(name = "help", description = "Shows help")
    public static final class BoragebarrowHelp extends Help<Runnable> {}
}
