package org.boragebarrow.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkState;

/** The grants in use and their leases. */
final class GrantTable {
    private final Map<AttemptId, Grant> byAttempt = new HashMap<>();
    private final TreeSet<Grant> byLeaseExpiry = new TreeSet<>(Grant.BY_LEASE_EXPIRY);

    Optional<Grant> get(AttemptId attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    void add(Grant grant) {
        Grant earlier = byAttempt.putIfAbsent(grant.request.attempt(), grant);
        checkState(earlier == null, "%s already has a grant", grant.request.attempt());
        byLeaseExpiry.add(grant);
    }

    void remove(Grant grant) {
        checkState(byAttempt.remove(grant.request.attempt(), grant), "%s has no grant", grant.request.attempt());
        byLeaseExpiry.remove(grant);
    }

    void renew(Grant grant, long leaseExpiryNanos) {
        byLeaseExpiry.remove(grant);
        grant.leaseExpiryNanos = leaseExpiryNanos;
        byLeaseExpiry.add(grant);
    }

    /** Returns the grant with the earliest lease expiry if that lease has expired. */
    Optional<Grant> firstExpired(long nowNanos) {
        if (byLeaseExpiry.isEmpty() || byLeaseExpiry.first().leaseExpiryNanos - nowNanos > 0) {
            return Optional.empty();
        }
        return Optional.of(byLeaseExpiry.first());
    }

    /** Returns the grants of a front. Scans all grants, as fronts are rarely lost. */
    ImmutableList<Grant> ofFront(HostIncarnation front) {
        List<Grant> found = new ArrayList<>();
        for (Grant g : byAttempt.values()) {
            if (g.request.attempt().owner().equals(front)) {
                found.add(g);
            }
        }
        return ImmutableList.copyOf(found);
    }

    /** Returns the grants on a target. Scans all grants, as targets are rarely added to the list. */
    ImmutableList<Grant> onTarget(TargetId target) {
        List<Grant> found = new ArrayList<>();
        for (Grant g : byAttempt.values()) {
            if (g.targets.contains(target)) {
                found.add(g);
            }
        }
        return ImmutableList.copyOf(found);
    }

    int size() {
        return byAttempt.size();
    }
}
