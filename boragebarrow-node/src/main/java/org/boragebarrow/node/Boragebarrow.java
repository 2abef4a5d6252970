package org.boragebarrow.node;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** The entry point of a host. */
public final class Boragebarrow {
    /** Exit code when the command line or the settings are wrong. */
    static final int USAGE = 2;

    @SuppressWarnings("unchecked")
    private static final Cli<Runnable> CLI = Cli.<Runnable>builder("boragebarrow")
            .withDescription("Runs one entry host of the serving layer")
            .withDefaultCommand(BoragebarrowHelp.class)
            .withCommands(BoragebarrowHelp.class, RunCommand.class, CheckSettingsCommand.class)
            .withCommand(PrintSettingsCommand.class)
            .build();

    private Boragebarrow() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] arguments) {
        String[] words = arguments.length > 0 && arguments[0].equals("--help") ? new String[] {"help"} : arguments;
        try {
            CLI.parse(words).run();
        } catch (ParseException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(USAGE);
        } catch (CommandException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(e.exitCode());
        }
    }

    /** Prints help; Airline's own class is generic, so that it needs a name of its own here. */
    @com.github.rvesse.airline.annotations.Command(name = "help", description = "Shows help")
    public static final class BoragebarrowHelp extends Help<Runnable> {}
}
