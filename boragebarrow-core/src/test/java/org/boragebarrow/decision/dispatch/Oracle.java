package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Checks a dispatcher's effects against plain lists of what was submitted and granted. */
final class Oracle {
    static final long CAPACITY = 200_000;
    static final int SLOTS = 4;

    final Map<AttemptId, GrantRequest> queued = new LinkedHashMap<>();
    final Map<AttemptId, ActiveGrant> granted = new LinkedHashMap<>();
    final Map<TargetId, EngineState> engines = new TreeMap<>();
    final TreeSet<TargetId> listed = new TreeSet<>();
    boolean plansConfigured = true;
    private final Duration lease;

    Oracle(Duration lease) {
        this.lease = lease;
    }

    /**
     * Removes grants with an expired lease. Requests past their time limit stay queued, as the effects of the same
     * event must refuse them.
     */
    void advance(long now) {
        granted.values().removeIf(g -> g.leaseExpiryNanos <= now);
    }

    void renew(GrantRequest request, ImmutableList<TargetId> targets, long now) {
        queued.remove(request.attempt());
        ActiveGrant g = granted.computeIfAbsent(request.attempt(), a -> new ActiveGrant(request, targets));
        g.leaseExpiryNanos = now + lease.toNanos();
    }

    /** Checks the effects of one event. */
    void check(List<DispatchEffect> effects, Optional<AttemptId> repeated, long now, Dispatcher dispatcher) {
        for (DispatchEffect effect : effects) {
            switch (effect) {
                case DispatchEffect.Granted g -> checkGrant(g, repeated, now);
                case DispatchEffect.Refused r -> removeQueued(r.attempt());
                case DispatchEffect.Spilled s ->
                    assertWithMessage("spilled twice")
                            .that(removeQueued(s.attempt()).spilled())
                            .isFalse();
            }
        }
        for (GrantRequest r : queued.values()) {
            assertWithMessage("%s is queued past its time limit", r.attempt())
                    .that(r.deadlineNanos())
                    .isGreaterThan(now);
        }
        assertThat(dispatcher.queuedCount()).isEqualTo(queued.size());
        assertThat(dispatcher.grantedCount()).isEqualTo(granted.size());
    }

    private GrantRequest removeQueued(AttemptId attempt) {
        GrantRequest request = queued.remove(attempt);
        assertWithMessage("%s is resolved but not queued", attempt)
                .that(request)
                .isNotNull();
        return request;
    }

    private void checkGrant(DispatchEffect.Granted grant, Optional<AttemptId> repeated, long now) {
        ActiveGrant earlier = granted.get(grant.attempt());
        if (earlier != null) {
            assertThat(repeated).hasValue(grant.attempt());
            assertThat(grant.targets()).isEqualTo(earlier.targets);
            return;
        }
        GrantRequest request = removeQueued(grant.attempt());
        assertThat(plansConfigured).isTrue();
        assertThat(request.deadlineNanos()).isGreaterThan(now);
        assertThat(grant.targets()).isInStrictOrder();
        ActiveGrant g = new ActiveGrant(request, grant.targets());
        g.leaseExpiryNanos = now + lease.toNanos();
        granted.put(grant.attempt(), g);
        for (TargetId t : grant.targets()) {
            assertThat(request.excluded()).doesNotContain(t);
            checkEngine(t, g);
        }
    }

    private void checkEngine(TargetId target, ActiveGrant added) {
        EngineState e = engines.get(target);
        assertThat(listed).contains(target);
        assertWithMessage("%s accepts no new work", target)
                .that(e.isAvailable())
                .isTrue();
        long totalTokens = 0;
        long longerTokens = 0;
        int sequences = 0;
        for (ActiveGrant g : granted.values()) {
            if (!g.targets.contains(target)) {
                continue;
            }
            sequences++;
            totalTokens += g.tokensPerEngine();
            longerTokens += g.isShort() ? 0 : g.tokensPerEngine();
        }
        assertWithMessage("KV tokens granted on %s", target).that(totalTokens).isAtMost(CAPACITY);
        assertWithMessage("batch slots granted on %s", target).that(sequences).isAtMost(SLOTS);
        if (!added.isShort()) {
            assertWithMessage("KV tokens of longer classes on %s", target)
                    .that(longerTokens)
                    .isAtMost(CAPACITY * 9 / 10);
        }
    }

    /** Returns the grant with index {@code n} modulo the number of grants. */
    Optional<ActiveGrant> nthGranted(int n) {
        return nth(granted.values().iterator(), granted.size(), n);
    }

    /** Returns the queued request with index {@code n} modulo the number of queued requests. */
    Optional<GrantRequest> nthQueued(int n) {
        return nth(queued.values().iterator(), queued.size(), n);
    }

    long usedTokens(TargetId engine) {
        long sum = 0;
        for (ActiveGrant g : granted.values()) {
            sum += g.targets.contains(engine) ? g.tokensPerEngine() : 0;
        }
        return sum;
    }

    private static <T> Optional<T> nth(Iterator<T> all, int size, int n) {
        List<T> list = new ArrayList<>();
        all.forEachRemaining(list::add);
        return size == 0 ? Optional.empty() : Optional.of(list.get(n % size));
    }

    /** A grant whose lease has not expired. */
    static final class ActiveGrant {
        final GrantRequest request;
        final ImmutableList<TargetId> targets;
        long leaseExpiryNanos;

        ActiveGrant(GrantRequest request, ImmutableList<TargetId> targets) {
            this.request = request;
            this.targets = targets;
        }

        long tokensPerEngine() {
            Work.Prompt p = (Work.Prompt) request.work();
            long tokens = (long) p.promptTokens() + p.maxTokens();
            return (tokens + targets.size() - 1) / targets.size();
        }

        boolean isShort() {
            return ((Work.Prompt) request.work()).lengthClass() == LengthClass.SHORT;
        }
    }

    /** The states that the test has applied to an engine. */
    static final class EngineState {
        boolean leaving;
        boolean stopped;
        boolean unreachable;
        boolean refusing;

        boolean isAvailable() {
            return !leaving && !stopped && !unreachable && !refusing;
        }
    }
}
