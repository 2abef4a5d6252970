package org.boragebarrow.node;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Validates a settings file and reports all errors. */
@Command(name = "check-settings", description = "Reports everything that is wrong with a settings file")
public final class CheckSettingsCommand implements Runnable {
    @Required
    @Arguments(title = "FILE", description = "The settings file")
    private String file;

    @Override
    public void run() {
        SettingsFiles.read(file);
        System.out.println(file + " is valid");
    }
}
