package org.boragebarrow.node;

import java.util.UUID;

import org.boragebarrow.node.admin.AdminApi;
import org.boragebarrow.node.admin.StatusPages;
import org.boragebarrow.node.change.ChangeDuty;
import org.boragebarrow.node.front.Front;
import org.boragebarrow.node.member.MemberDuty;
import org.boragebarrow.node.metrics.HostMetrics;

/** The metrics, readiness and status of a host that the operators' API serves. */
record HostPages(MemberDuty members, ChangeDuty changes, Front front, HostMetrics meters) implements AdminApi.Pages {
    @Override
    public String metrics() {
        return meters.scrape();
    }

    @Override
    public boolean isReady() {
        return front.isReady();
    }

    @Override
    public String status() {
        return new StatusPages(members).status(changes.state().number(), front.isReady(), front.inProgress());
    }

    @Override
    public String change(long number) {
        return new StatusPages(members).change(number, changes.state().number());
    }

    @Override
    public String newChangeId() {
        return UUID.randomUUID().toString();
    }
}
