package org.boragebarrow.ctl;

import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.net.UrlEscapers;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.AdminJson;

/** The commands that list, add and lift parts of prompts in quarantine. */
final class QuarantineCommands {
    private static final String PATH = "/admin/v1/quarantine";

    private QuarantineCommands() {}

    private static void print(JsonNode entry, Console console) {
        console.out()
                .println(entry.path("service").asText() + "/"
                        + entry.path("part").asText() + " "
                        + entry.path("state").asText() + " since "
                        + Instant.ofEpochMilli(entry.path("changed_at_ms").asLong()) + " by "
                        + entry.path("author").asText() + ": "
                        + entry.path("reason").asText());
    }

    /** Lists the parts in quarantine and those that were lifted. */
    @Command(name = "list", description = "Lists the parts of prompts in quarantine, and those that were lifted")
    public static final class List implements CtlCommand {
        @AirlineModule
        private AdminOptions admin = new AdminOptions();

        @Override
        public void run(Console console) {
            try (AdminClient client = admin.createClient()) {
                JsonNode listing = AdminJson.parse(client.get(PATH).text());
                if (admin.json()) {
                    console.out().println(listing);
                    return;
                }
                listing.path("entries").forEach(entry -> print(entry, console));
            }
        }
    }

    /** Puts a part into quarantine. */
    @Command(name = "put", description = "Refuses prompts with a part until the quarantine is lifted")
    public static final class Put extends Edit {
        @Override
        String method() {
            return "PUT";
        }
    }

    /** Lifts the quarantine of a part. */
    @Command(name = "lift", description = "Lets prompts with a part be sent to targets again")
    public static final class Lift extends Edit {
        @Override
        String method() {
            return "DELETE";
        }
    }

    /** Base of the commands that change one entry. */
    abstract static class Edit implements CtlCommand {
        @AirlineModule
        private AdminOptions admin = new AdminOptions();

        @Option(name = "--operator", title = "NAME", description = "Who makes the change (the user's name)")
        private String operator = System.getProperty("user.name");

        @Option(name = "--reason", title = "TEXT", description = "Why, for whoever reads the list")
        private String reason = "";

        @Required
        @Arguments(title = "SERVICE PART", description = "The service and the part's id")
        private java.util.List<String> names;

        abstract String method();

        @Override
        public void run(Console console) {
            if (names.size() != 2) {
                throw new CommandException(ExitCode.USAGE, "expected a service and a part, got " + names);
            }
            String path = PATH + "/" + segment(names.get(0)) + "/" + segment(names.get(1));
            String body =
                    new ObjectMapper().createObjectNode().put("reason", reason).toString();
            try (AdminClient client = admin.createClient()) {
                JsonNode entry = AdminJson.parse(
                        client.edit(method(), path, ImmutableListMultimap.of("operator", operator), body)
                                .text());
                if (admin.json()) {
                    console.out().println(entry);
                    return;
                }
                print(entry, console);
            }
        }

        private static String segment(String text) {
            return UrlEscapers.urlPathSegmentEscaper().escape(text);
        }
    }
}
