package org.boragebarrow.ctl.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;

/** Static functions that read scenarios and their API keys from files. */
final class ScenarioFiles {
    private ScenarioFiles() {}

    /**
     * Reads a scenario.
     *
     * @throws CommandException with all problems of the scenario
     */
    static Scenario read(String path) {
        try {
            return ScenarioReader.read(Files.readString(Path.of(path)));
        } catch (ScenarioException e) {
            throw new CommandException(ExitCode.USAGE, path + ":\n" + e.getMessage());
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + path + ": " + e);
        }
    }

    /**
     * Reads the API key of an organisation.
     *
     * @throws CommandException if it cannot be read
     */
    static String readApiKey(Scenario.Organisation organisation) {
        try {
            return ScenarioApiKeys.read(organisation.keySource());
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, "API key of " + organisation.name() + ": " + e.getMessage());
        }
    }
}
