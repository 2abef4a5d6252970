package org.boragebarrow.ctl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.boragebarrow.ctl.load.LoadCommand;
import org.boragebarrow.ctl.load.PrepareCommand;

/** The entry point of the operators' command line. */
public final class Boragebarrowctl {
    private static final String HELP = "--help";
    private static final Cli<CtlCommand> CLI = cli();

    private Boragebarrowctl() {}

    private static Cli<CtlCommand> cli() {
        CliBuilder<CtlCommand> builder = Cli.<CtlCommand>builder("boragebarrowctl")
                .withDescription("Edits plans and allowances, switches targets and tries the serving layer")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(HelpCommand.class)
                .withCommand(StatusCommand.class)
                .withCommand(SendCommand.class)
                .withCommand(PrepareCommand.class)
                .withCommand(LoadCommand.class);
        builder.withGroup("plan")
                .withDescription("Edits the plans of organisations")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(PlanCommands.Set.class)
                .withCommand(PlanCommands.Get.class)
                .withCommand(PlanCommands.Delete.class)
                .withCommand(PlanCommands.List.class);
        builder.withGroup("allowance")
                .withDescription("Edits what plans may use")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(AllowanceCommands.Set.class)
                .withCommand(AllowanceCommands.Get.class)
                .withCommand(AllowanceCommands.Delete.class)
                .withCommand(AllowanceCommands.List.class);
        builder.withGroup("target")
                .withDescription("Starts and stops targets")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(TargetCommands.Start.class)
                .withCommand(TargetCommands.Stop.class)
                .withCommand(TargetCommands.List.class);
        builder.withGroup("zone")
                .withDescription("Empties zones and takes them back")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(ZoneCommands.Empty.class)
                .withCommand(ZoneCommands.TakeBack.class)
                .withCommand(ZoneCommands.List.class);
        builder.withGroup("quarantine")
                .withDescription("Edits the parts of prompts that are refused because they crash targets")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(QuarantineCommands.List.class)
                .withCommand(QuarantineCommands.Put.class)
                .withCommand(QuarantineCommands.Lift.class);
        builder.withGroup("change")
                .withDescription("Shows on which hosts changes are in effect")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(ShowChangeCommand.class);
        return builder.build();
    }

    /** Runs the command that the arguments name, and exits with its exit code. */
    public static void main(String[] arguments) {
        ExitCode code = run(new Console(System.out, System.err), arguments);
        System.out.flush();
        System.exit(code.value());
    }

    /** Runs the command that the arguments name. */
    public static ExitCode run(Console console, String... arguments) {
        try {
            CLI.parse(withHelpFirst(arguments)).run(console);
            return ExitCode.OK;
        } catch (ParseException e) {
            console.err().println("error: " + e.getMessage());
            return ExitCode.USAGE;
        } catch (CommandException e) {
            console.err().println("error: " + e.getMessage());
            return e.exitCode();
        }
    }

    /** Rewrites {@code plan set --help} as {@code help plan set}, so that help needs none of the required options. */
    private static String[] withHelpFirst(String... arguments) {
        List<String> words = new ArrayList<>(Arrays.asList(arguments));
        if (!words.contains(HELP)) {
            return arguments;
        }
        List<String> rewritten = new ArrayList<>();
        rewritten.add("help");
        for (String word : words) {
            if (word.startsWith("-")) {
                break;
            }
            rewritten.add(word);
        }
        return rewritten.toArray(new String[0]);
    }
}
