package org.boragebarrow.ctl.admin;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Stopwatch;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;

/**
 * The hosts on which a change is in effect, as reported by one host.
 *
 * @param inEffect the hosts on which the change is in effect
 * @param pending the reachable hosts on which it is not yet in effect
 * @param unreachable the hosts from which the reporting host receives no messages
 */
public record Rollout(
        long number, ImmutableList<String> inEffect, ImmutableList<String> pending, ImmutableList<String> unreachable) {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Returns whether the change is in effect on every reachable host. */
    public boolean isInEffect() {
        return pending.isEmpty() && !inEffect.isEmpty();
    }

    /** Requests the state of a change once, without waiting for it to be in effect. */
    public static Rollout fetch(AdminClient client, long number) {
        JsonNode state =
                AdminJson.parse(client.get("/admin/v1/changes/" + number).text());
        return new Rollout(number, hosts(state, "in_force"), hosts(state, "pending"), hosts(state, "unreachable"));
    }

    /** Polls until the change is in effect on every reachable host or the timeout has passed. */
    public static Rollout await(AdminClient client, long number, Duration timeout, Ticker ticker) {
        Stopwatch watch = Stopwatch.createStarted(ticker);
        Rollout rollout = fetch(client, number);
        while (!rollout.isInEffect() && watch.elapsed().compareTo(timeout) < 0) {
            Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            rollout = fetch(client, number);
        }
        return rollout;
    }

    private static ImmutableList<String> hosts(JsonNode state, String field) {
        ImmutableList.Builder<String> hosts = ImmutableList.builder();
        state.path(field).forEach(host -> hosts.add(host.asText()));
        return hosts.build();
    }
}
