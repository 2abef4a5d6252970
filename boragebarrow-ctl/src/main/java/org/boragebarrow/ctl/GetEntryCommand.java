package org.boragebarrow.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.Edit;
import org.boragebarrow.ctl.admin.EntityTags;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.http.client.HttpAnswer;

/** Base of the commands that show one entry. */
abstract class GetEntryCommand implements CtlCommand {
    @AirlineModule
    private AdminOptions admin = new AdminOptions();

    @Required
    @Arguments(title = "ID", description = "The entry's id")
    private String id;

    abstract EntryKey.Kind kind();

    @Override
    public void run(Console console) {
        try (AdminClient client = admin.createClient()) {
            HttpAnswer answer = client.get(Edit.path(kind(), id));
            long version = EntityTags.version(answer);
            String value = answer.text().strip();
            if (!admin.json()) {
                console.out().println(id + " version " + version + ": " + value);
                return;
            }
            ObjectNode node = JsonNodeFactory.instance.objectNode();
            node.put("id", id).put("version", version).putRawValue("value", new RawValue(value));
            console.out().println(node);
        }
    }
}
