package org.boragebarrow.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.AdminJson;

/** Shows the state of the deployment as one host reports it. */
@Command(name = "status", description = "Shows the state of the deployment as one host reports it")
public final class StatusCommand implements CtlCommand {
    @AirlineModule
    private AdminOptions admin = new AdminOptions();

    @Override
    public void run(Console console) {
        try (AdminClient client = admin.createClient()) {
            JsonNode status = AdminJson.parse(client.get("/admin/v1/status").text());
            console.out().println(admin.json() ? status.toString() : AdminJson.pretty(status));
        }
    }
}
