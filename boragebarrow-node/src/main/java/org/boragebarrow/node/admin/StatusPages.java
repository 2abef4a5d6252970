package org.boragebarrow.node.admin;

import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.member.ZonesView;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.member.Members;

import static com.google.common.base.Preconditions.checkNotNull;

/** Writes a host's view of the deployment as JSON. */
public final class StatusPages {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Members members;

    /** Creates pages that show the given host's view. */
    public StatusPages(Members members) {
        this.members = checkNotNull(members);
    }

    /**
     * Returns the hosts at which a change is in effect or pending and the unreachable hosts, according to the reports
     * that this host has received.
     */
    public String change(long number, long appliedHere) {
        ObjectNode page = JSON.createObjectNode();
        page.put("change", number);
        ArrayNode inEffect = page.putArray("in_force");
        ArrayNode pending = page.putArray("pending");
        ArrayNode unreachable = page.putArray("unreachable");
        MemberView view = members.members();
        for (HostId host : view.live().keySet()) {
            if (view.unreachable().contains(host)) {
                unreachable.add(host.value());
                continue;
            }
            boolean isSelf = host.equals(members.self().host());
            long applied = isSelf ? appliedHere : view.applied().getOrDefault(host, 0L);
            (applied >= number ? inEffect : pending).add(host.value());
        }
        members.zones().zones().forEach((zone, status) -> addZone(status, number, inEffect, pending, unreachable));
        page.put("everywhere", pending.isEmpty() && unreachable.isEmpty());
        page.put("reachable", pending.isEmpty());
        return page + "\n";
    }

    private static void addZone(
            ZonesView.ZoneStatus status, long number, ArrayNode inEffect, ArrayNode pending, ArrayNode unreachable) {
        ArrayNode list = !status.responsive() ? unreachable : status.lowestApplied() >= number ? inEffect : pending;
        status.members().forEach(member -> list.add(member.host().value()));
    }

    /** Returns this host's status. */
    public String status(long appliedHere, boolean ready, int inProgress) {
        ObjectNode page = JSON.createObjectNode();
        page.put("host", members.self().host().value());
        page.put("incarnation", members.self().number().value());
        page.put("zone", members.zone().value());
        page.put("ready", ready);
        page.put("change", appliedHere);
        page.put("requests_in_progress", inProgress);
        members.holder(members.zone(), new Role.Dispatcher())
                .ifPresent(
                        dispatcher -> page.put("dispatcher", dispatcher.host().value()));
        ArrayNode hosts = page.putArray("hosts");
        members.members().live().values().forEach(member -> addHost(hosts, member));
        ObjectNode zones = page.putObject("zones");
        for (Map.Entry<AvailabilityZoneId, ZonesView.ZoneStatus> zone :
                members.zones().zones().entrySet()) {
            ObjectNode node = zones.putObject(zone.getKey().value());
            node.put("heard", zone.getValue().responsive());
            node.put("hosts", zone.getValue().memberCount());
            node.put("change", zone.getValue().lowestApplied());
        }
        return page + "\n";
    }

    private static void addHost(ArrayNode hosts, Member member) {
        ObjectNode node = hosts.addObject();
        node.put("host", member.host().value());
        node.put("leaving", member.leaving());
    }
}
