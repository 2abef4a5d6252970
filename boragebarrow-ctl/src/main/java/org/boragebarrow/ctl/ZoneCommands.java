package org.boragebarrow.ctl;

import com.github.rvesse.airline.annotations.Command;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.model.AvailabilityZoneId;

/** The commands that empty zones, take them back and list those that are empty. */
final class ZoneCommands {
    private ZoneCommands() {}

    /** Empties a zone. */
    @Command(
            name = "empty",
            description = "Stops sending new requests to a zone's targets; their running requests continue")
    public static final class Empty extends EditEntryCommand {
        @Override
        ChangeEntry entry(String entryId) {
            return new ChangeEntry.ZoneEntry(AvailabilityZoneId.of(entryId), true);
        }
    }

    /** Takes a zone back. */
    @Command(name = "take-back", description = "Lets the targets of an emptied zone accept new requests")
    public static final class TakeBack extends EditEntryCommand {
        @Override
        ChangeEntry entry(String entryId) {
            return new ChangeEntry.ZoneEntry(AvailabilityZoneId.of(entryId), false);
        }
    }

    /** Lists the emptied zones. */
    @Command(name = "list", description = "Lists the zones that operators have emptied")
    public static final class List extends ListEntriesCommand {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.ZONE;
        }
    }
}
