package org.boragebarrow.ctl;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.ctl.admin.AcceptedChange;
import org.boragebarrow.ctl.admin.Rollout;

/** Static functions that print the outcome of a change. */
final class ChangeReports {
    private static final Joiner SPACE_JOINER = Joiner.on(' ');

    private ChangeReports() {}

    static void print(AcceptedChange accepted, Optional<Rollout> rollout, boolean json, Console console) {
        if (json) {
            ObjectNode node = JsonNodeFactory.instance.objectNode();
            node.put("change", accepted.number());
            node.put("change_id", accepted.changeId());
            node.putRawValue("value", new RawValue(accepted.value()));
            rollout.ifPresent(state -> put(node, state));
            console.out().println(node);
            return;
        }
        console.out().println("accepted as change " + accepted.number() + ": " + accepted.value());
        rollout.ifPresent(state -> print(state, console));
    }

    static void print(Rollout rollout, boolean json, Console console) {
        if (json) {
            ObjectNode node = JsonNodeFactory.instance.objectNode();
            node.put("change", rollout.number());
            put(node, rollout);
            console.out().println(node);
            return;
        }
        print(rollout, console);
    }

    private static void print(Rollout rollout, Console console) {
        console.out().println("in effect on: " + SPACE_JOINER.join(rollout.inEffect()));
        printUnlessEmpty("not yet in effect on: ", rollout.pending(), console);
        printUnlessEmpty("unreachable: ", rollout.unreachable(), console);
    }

    private static void printUnlessEmpty(String label, ImmutableList<String> hosts, Console console) {
        if (!hosts.isEmpty()) {
            console.out().println(label + SPACE_JOINER.join(hosts));
        }
    }

    private static void put(ObjectNode node, Rollout rollout) {
        node.put("reachable", rollout.isInEffect());
        put(node.putArray("in_force"), rollout.inEffect());
        put(node.putArray("pending"), rollout.pending());
        put(node.putArray("unreachable"), rollout.unreachable());
    }

    private static void put(ArrayNode array, ImmutableList<String> hosts) {
        hosts.forEach(array::add);
    }

    static void checkInEffect(Rollout rollout, Duration timeout) {
        if (!rollout.isInEffect()) {
            throw new CommandException(
                    ExitCode.WAIT_TIMED_OUT,
                    "change " + rollout.number() + " is not in effect after " + timeout.toSeconds() + " s on: "
                            + SPACE_JOINER.join(rollout.pending()));
        }
    }
}
