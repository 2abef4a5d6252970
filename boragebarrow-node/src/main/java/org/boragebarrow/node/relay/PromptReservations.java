package org.boragebarrow.node.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;

/**
 * The memory reserved on helpers for one prompt; confined to the event loop.
 *
 * <p>Reservations are short and renewed, so that those of a failed host expire soon.
 */
final class PromptReservations {
    /** Lifetime of a reservation without renewal: targets must regain the memory four seconds after its last use. */
    private static final Duration RESERVATION_LIFETIME = Duration.ofMillis(2_800);

    /** The longest lifetime that targets grant. */
    private static final Duration MAX_LIFETIME = Duration.ofSeconds(20);

    /** Delay after the end of a quiet period, so that rounding does not make a request too early. */
    private static final Duration AFTER_QUIET = Duration.ofMillis(5);

    /** Two renewals may be lost within the lifetime of a reservation. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    private final RelayContext context;
    private final ImmutableList<HelperTarget> storingHelpers;
    private final String name;
    private final Runnable expiring;
    private final Map<TargetIncarnation, Long> heldUntil = new HashMap<>();
    private final Map<TargetIncarnation, Long> extendedUntil = new HashMap<>();
    private final Map<TargetIncarnation, Long> extensionAskedAt = new HashMap<>();
    private Optional<Future<?>> renewalTimer = Optional.empty();
    private boolean released;

    /**
     * Creates reservations that are not sent yet.
     *
     * @param expiring runs when the memory on a helper expires before the helper may be asked to keep it; may end the attempt
     */
    PromptReservations(RelayContext context, ImmutableList<HelperTarget> helpers, String name, Runnable expiring) {
        this.context = context;
        this.name = name;
        this.expiring = expiring;
        this.storingHelpers =
                helpers.stream().filter(helper -> helper.storedTokens() > 0).collect(ImmutableList.toImmutableList());
    }

    /** Returns whether no memory has to be reserved. */
    boolean isEmpty() {
        return storingHelpers.isEmpty();
    }

    /** Reserves all memory, one target after the other in the order of their ids, so that prompts never deadlock. */
    CompletableFuture<Void> reserve() {
        ImmutableList<HelperTarget> ordered = storingHelpers.stream()
                .sorted((first, second) ->
                        first.target().id().compareTo(second.target().id()))
                .collect(ImmutableList.toImmutableList());
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (HelperTarget helper : ordered) {
            chain = chain.thenCompose(done -> reserve(helper));
        }
        scheduleRenewal();
        return chain;
    }

    private CompletableFuture<Void> reserve(HelperTarget helper) {
        if (released) {
            return CompletableFuture.failedFuture(new CancellationException("the attempt ended"));
        }
        if (context.quiet()
                .isQuiet(helper.target().incarnation(), context.ticker().read())) {
            return CompletableFuture.failedFuture(
                    new IOException("target " + helper.target().id() + " wants no requests"));
        }
        return send(helper, RESERVATION_LIFETIME);
    }

    /** Sends a reservation or its renewal, and records until when the memory is held if it succeeds. */
    private CompletableFuture<Void> send(HelperTarget helper, Duration lifetime) {
        long sentAt = context.ticker().read();
        return context.calls()
                .reserve(helper.target(), name, helper.storedTokens(), lifetime)
                .thenRunAsync(
                        () -> heldUntil.merge(helper.target().incarnation(), sentAt + lifetime.toNanos(), Math::max),
                        context.loop());
    }

    private void scheduleRenewal() {
        renewalTimer =
                Optional.of(context.loop().schedule(this::renew, RENEWAL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS));
    }

    private void renew() {
        if (released) {
            return;
        }
        long now = context.ticker().read();
        for (HelperTarget helper : storingHelpers) {
            TargetIncarnation target = helper.target().incarnation();
            if (extendedUntil.getOrDefault(target, now) - now > 0) {
                continue;
            }
            if (context.quiet().isQuiet(target, now) && !isHeldFor(target, RENEWAL_INTERVAL, now)) {
                expiring.run();
            }
            if (released) {
                return;
            }
            if (context.quiet().tryAcquire(target, now)) {
                send(helper, RESERVATION_LIFETIME).exceptionally(failure -> logFailure(helper, failure));
            }
        }
        scheduleRenewal();
    }

    private boolean isHeldFor(TargetIncarnation target, Duration time, long now) {
        return heldUntil.getOrDefault(target, now) - now > time.toNanos();
    }

    /**
     * Renews the reservation on a helper for the time that is left of the request, because the helper wants no requests from now
     * on; each further renewal would be one. Has no effect if the helper was asked for that in the same quiet time.
     */
    void extend(TargetIncarnation target, Duration time) {
        long now = context.ticker().read();
        if (released || renewalTimer.isEmpty() || !isExtensionDue(target, now)) {
            return;
        }
        for (HelperTarget helper : storingHelpers) {
            if (helper.target().incarnation().equals(target)) {
                extensionAskedAt.put(target, now);
                Duration lifetime = Comparators.min(time, MAX_LIFETIME);
                Duration covered = time.compareTo(MAX_LIFETIME) <= 0 ? time : lifetime.minus(RENEWAL_INTERVAL);
                send(helper, lifetime)
                        .thenRun(() -> extendedUntil.put(target, now + covered.toNanos()))
                        .exceptionally(failure -> logFailure(helper, failure));
            }
        }
    }

    /** Returns whether the helper was not asked yet, or was not quiet since it was asked last. */
    private boolean isExtensionDue(TargetIncarnation target, long now) {
        Long askedAt = extensionAskedAt.get(target);
        return askedAt == null || context.quiet().quietSince(target, now) - askedAt > 0;
    }

    /** Releases all memory; later calls have no effect. */
    void release() {
        if (released || storingHelpers.isEmpty()) {
            return;
        }
        released = true;
        renewalTimer.ifPresent(timer -> timer.cancel(false));
        storingHelpers.forEach(this::release);
    }

    /** Releases a helper's memory, after its quiet period if it wants no more requests until then. */
    private void release(HelperTarget helper) {
        TargetIncarnation target = helper.target().incarnation();
        long now = context.ticker().read();
        if (context.quiet().tryAcquire(target, now)) {
            context.calls().release(helper.target(), name).exceptionally(failure -> logFailure(helper, failure));
            return;
        }
        // Memory that was not reserved for long is free again soon.
        if (extendedUntil.containsKey(target)) {
            Duration wait = context.quiet().remaining(target, now).plus(AFTER_QUIET);
            context.loop().schedule(() -> release(helper), wait.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private Void logFailure(HelperTarget helper, Throwable failure) {
        context.log()
                .write(
                        RelayEvent.RESERVATION_FAILED,
                        "reservation",
                        name,
                        "target",
                        helper.target().id(),
                        "tokens",
                        helper.storedTokens(),
                        "reason",
                        failure.getMessage());
        return null;
    }
}
