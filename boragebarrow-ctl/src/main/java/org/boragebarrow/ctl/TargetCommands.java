package org.boragebarrow.ctl;

import com.github.rvesse.airline.annotations.Command;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;

/** Holds the commands that switch targets. */
final class TargetCommands {
    private TargetCommands() {}

    /** Starts a target. */
    @Command(name = "start", description = "Lets a target take new work")
    public static final class Start extends EditEntry {
        @Override
        ChangeEntry entry(String named) {
            return ChangeEntry.SwitchEntry.set(new TargetSwitch(TargetId.of(named), true));
        }
    }

    /** Stops a target. */
    @Command(name = "stop", description = "Keeps new work from a target; its running work goes on")
    public static final class Stop extends EditEntry {
        @Override
        ChangeEntry entry(String named) {
            return ChangeEntry.SwitchEntry.set(new TargetSwitch(TargetId.of(named), false));
        }
    }

    /** Lists the switches. */
    @Command(name = "list", description = "Lists the targets that operators have started or stopped")
    public static final class List extends ListEntries {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.SWITCH;
        }
    }
}
