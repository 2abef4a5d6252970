package org.boragebarrow.ctl.admin;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Stopwatch;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;

/**
 * Where a change is in force, as far as the asked host has heard.
 *
 * @param inForce the hosts that have it in force
 * @param pending the reachable hosts that don't
 * @param unreachable the hosts that the asked host does not hear
 */
public record Rollout(
        long number, ImmutableList<String> inForce, ImmutableList<String> pending, ImmutableList<String> unreachable) {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Returns whether every reachable host has the change in force. */
    public boolean isInForce() {
        return pending.isEmpty() && !inForce.isEmpty();
    }

    /** Asks a host once. */
    public static Rollout ask(AdminClient client, long number) {
        JsonNode page =
                AdminJson.parse(client.get("/admin/v1/changes/" + number).text());
        return new Rollout(number, hosts(page, "in_force"), hosts(page, "pending"), hosts(page, "unreachable"));
    }

    /** Asks until the change is in force on every reachable host or the timeout has passed. */
    public static Rollout await(AdminClient client, long number, Duration timeout, Ticker ticker) {
        Stopwatch watch = Stopwatch.createStarted(ticker);
        Rollout rollout = ask(client, number);
        while (!rollout.isInForce() && watch.elapsed().compareTo(timeout) < 0) {
            Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            rollout = ask(client, number);
        }
        return rollout;
    }

    private static ImmutableList<String> hosts(JsonNode page, String field) {
        ImmutableList.Builder<String> hosts = ImmutableList.builder();
        page.path(field).forEach(host -> hosts.add(host.asText()));
        return hosts.build();
    }
}
