package org.boragebarrow.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.AdminJson;
import org.boragebarrow.ctl.admin.Edit;
import org.boragebarrow.decision.change.EntryKey;

/** Base of the commands that list the entries of one kind. */
abstract class ListEntriesCommand implements CtlCommand {
    @AirlineModule
    private AdminOptions admin = new AdminOptions();

    abstract EntryKey.Kind kind();

    @Override
    public void run(Console console) {
        try (AdminClient client = admin.createClient()) {
            JsonNode listing = AdminJson.parse(client.get(Edit.path(kind(), "")).text());
            if (admin.json()) {
                console.out().println(listing);
                return;
            }
            console.out().println("change " + listing.path("change").asLong());
            for (JsonNode entry : listing.path("entries")) {
                String id = entry.path("id").asText();
                console.out().println(id + " version " + entry.path("version") + ": " + entry.path("value"));
            }
        }
    }
}
