package org.boragebarrow.decision.dispatch;

import java.util.Comparator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.TargetId;

/** A granted request and the capacity that it uses. */
final class Grant {
    /** Orders by lease expiry, then by attempt. */
    static final Comparator<Grant> BY_LEASE_EXPIRY = (a, b) -> {
        int order = Long.compare(a.leaseExpiryNanos, b.leaseExpiryNanos);
        return order != 0 ? order : a.request.attempt().compareTo(b.request.attempt());
    };

    final GrantRequest request;
    final ImmutableList<TargetId> targets;
    final LengthClass lengthClass;
    /** The KV memory used on each target, in tokens; 0 for a service call. */
    final long tokensPerEngine;
    /** The prefill work on each target, in tokens. */
    final double prefillTokensPerEngine;

    final int priority;
    final long grantedAtNanos;
    final long expectedEndNanos;
    long leaseExpiryNanos;

    Grant(
            GrantRequest request,
            ImmutableList<TargetId> targets,
            long tokensPerEngine,
            double prefillTokensPerEngine,
            int priority,
            long grantedAtNanos,
            long expectedEndNanos) {
        this.request = request;
        this.targets = targets;
        this.lengthClass = request.work() instanceof Work.Prompt p ? p.lengthClass() : LengthClass.SHORT;
        this.tokensPerEngine = tokensPerEngine;
        this.prefillTokensPerEngine = prefillTokensPerEngine;
        this.priority = priority;
        this.grantedAtNanos = grantedAtNanos;
        this.expectedEndNanos = expectedEndNanos;
    }

    long tokens() {
        return request.work() instanceof Work.Prompt p ? (long) p.promptTokens() + p.maxTokens() : 0;
    }

    boolean isShort() {
        return lengthClass == LengthClass.SHORT;
    }
}
