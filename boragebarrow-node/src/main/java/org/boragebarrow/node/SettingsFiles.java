package org.boragebarrow.node;

import java.io.IOException;
import java.nio.file.Path;

import org.boragebarrow.node.settings.HostSettings;
import org.boragebarrow.node.settings.SettingsException;

/** Reads settings files for commands. Failures are reported as {@link CommandException}s. */
final class SettingsFiles {
    private SettingsFiles() {}

    static HostSettings read(String file) {
        try {
            return HostSettings.read(Path.of(file));
        } catch (SettingsException e) {
            throw new CommandException(Boragebarrow.USAGE, file + " is not valid:\n" + e.getMessage());
        } catch (IOException e) {
            throw new CommandException(Boragebarrow.USAGE, "cannot read " + file + ": " + e.getMessage());
        }
    }
}
