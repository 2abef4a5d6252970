package org.boragebarrow.ctl;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkArgument;

/** The options of all commands that call the admin API. */
public final class AdminOptions {
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    @Required
    @Option(
            name = "--admin",
            title = "HOST:PORT",
            description = "The admin endpoint of a host; several, repeated or separated by commas, are tried in turn")
    private List<String> endpoints = new ArrayList<>();

    @Required
    @Option(name = "--token", title = "PLACE", description = "The operators' token: file:PATH or env:NAME")
    private String token;

    @Option(name = "--call-timeout-ms", title = "MS", description = "How long one call waits for its response (5000)")
    private int callTimeoutMillis = 5_000;

    @Option(name = "--json", description = "Prints JSON")
    private boolean json;

    boolean json() {
        return json;
    }

    /** Creates a client of the given hosts; throws {@link CommandException} if an option is not valid. */
    public AdminClient createClient() {
        ImmutableList<Endpoint> hosts = Usage.checked("--admin", this::hosts);
        String secret = Usage.checked("--token", () -> Secrets.read(token));
        return new AdminClient(hosts, secret, Duration.ofMillis(Math.max(1, callTimeoutMillis)));
    }

    private ImmutableList<Endpoint> hosts() {
        ImmutableList.Builder<Endpoint> hosts = ImmutableList.builder();
        for (String endpointList : endpoints) {
            COMMA_SPLITTER.split(endpointList).forEach(text -> hosts.add(Endpoint.parse(text)));
        }
        ImmutableList<Endpoint> all = hosts.build();
        checkArgument(!all.isEmpty(), "no endpoint in \"%s\"", String.join(",", endpoints));
        return all;
    }
}
