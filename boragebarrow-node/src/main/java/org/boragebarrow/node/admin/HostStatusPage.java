package org.boragebarrow.node.admin;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.node.relay.HostStatus;

/** Writes the status of a host that relays requests as JSON. */
final class HostStatusPage {
    private static final ObjectMapper JSON = new ObjectMapper();

    private HostStatusPage() {}

    static ObjectNode of(HostStatus status) {
        ObjectNode page = JSON.createObjectNode();
        page.put("host", status.host().value());
        page.put("ready", status.ready());
        page.put("requests_in_progress", status.requestsInProgress());
        status.routingVersion().ifPresent(version -> page.put("routing_version", version));
        page.put("assigner", status.assigner().value());
        page.put("quarantined_parts", status.quarantinedParts());
        addServices(page.putObject("services"), status);
        ArrayNode leaving = page.putArray("leaving");
        status.leaving()
                .forEach(target -> leaving.addObject()
                        .put("target", target.id().value())
                        .put("started_ms", target.startedMillis()));
        ArrayNode quiet = page.putArray("quiet");
        status.quiet()
                .forEach((target, left) -> quiet.addObject()
                        .put("target", target.id().value())
                        .put("started_ms", target.startedMillis())
                        .put("for_ms", left.toMillis()));
        ArrayNode emptied = page.putArray("emptied_zones");
        status.emptied()
                .forEach((zone, time) ->
                        emptied.addObject().put("zone", zone.value()).put("for_ms", time.toMillis()));
        return page;
    }

    /** Adds the number of targets of each service, and of those among them that accept no new work. */
    private static void addServices(ObjectNode services, HostStatus status) {
        Map<String, int[]> counts = new TreeMap<>();
        for (FleetTarget target : status.targets()) {
            int[] count = counts.computeIfAbsent(target.service().value(), service -> new int[2]);
            count[0]++;
            count[1] += target.draining() ? 1 : 0;
        }
        counts.forEach((service, count) ->
                services.putObject(service).put("targets", count[0]).put("draining", count[1]));
    }
}
