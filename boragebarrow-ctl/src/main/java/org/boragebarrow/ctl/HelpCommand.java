package org.boragebarrow.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;

/** Shows help. */
@Command(name = "help", description = "Shows help for a command")
public final class HelpCommand implements CtlCommand {
    @AirlineModule
    private GlobalMetadata<CtlCommand> metadata;

    @Arguments(title = "COMMAND", description = "The command")
    private List<String> words = new ArrayList<>();

    @Override
    public void run(Console console) {
        try {
            Help.help(metadata, words, console.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
