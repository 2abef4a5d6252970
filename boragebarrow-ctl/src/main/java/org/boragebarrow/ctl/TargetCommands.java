package org.boragebarrow.ctl;

import com.github.rvesse.airline.annotations.Command;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetSwitch;

/** The commands that start, stop and list targets. */
final class TargetCommands {
    private TargetCommands() {}

    /** Starts a target. */
    @Command(name = "start", description = "Lets a target accept new requests")
    public static final class Start extends EditEntryCommand {
        @Override
        ChangeEntry entry(String entryId) {
            return ChangeEntry.SwitchEntry.set(new TargetSwitch(TargetId.of(entryId), true));
        }
    }

    /** Stops a target. */
    @Command(name = "stop", description = "Stops sending new requests to a target; its running requests continue")
    public static final class Stop extends EditEntryCommand {
        @Override
        ChangeEntry entry(String entryId) {
            return ChangeEntry.SwitchEntry.set(new TargetSwitch(TargetId.of(entryId), false));
        }
    }

    /** Lists the targets that operators have started or stopped. */
    @Command(name = "list", description = "Lists the targets that operators have started or stopped")
    public static final class List extends ListEntriesCommand {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.SWITCH;
        }
    }
}
