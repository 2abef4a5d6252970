package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.HelperTarget;

/**
 * The memory reserved on helpers for one prompt; confined to the event loop.
 *
 * <p>Reservations are short and renewed, so that those of a failed host expire soon.
 */
final class PromptReservations {
    /** Lifetime of a reservation without renewal: targets must regain the memory four seconds after its last use. */
    private static final Duration RESERVATION_LIFETIME = Duration.ofMillis(2_800);

    /** Two renewals may be lost within the lifetime of a reservation. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    private final RelayContext context;
    private final ImmutableList<HelperTarget> storingHelpers;
    private final String name;
    private Optional<Future<?>> renewalTimer = Optional.empty();
    private boolean released;

    PromptReservations(RelayContext context, ImmutableList<HelperTarget> helpers, String name) {
        this.context = context;
        this.name = name;
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
        return context.calls().reserve(helper.target(), name, helper.storedTokens(), RESERVATION_LIFETIME);
    }

    private void scheduleRenewal() {
        renewalTimer =
                Optional.of(context.loop().schedule(this::renew, RENEWAL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS));
    }

    private void renew() {
        if (released) {
            return;
        }
        for (HelperTarget helper : storingHelpers) {
            reserve(helper).exceptionally(failure -> logFailure(helper, failure));
        }
        scheduleRenewal();
    }

    /** Releases all memory; later calls have no effect. */
    void release() {
        if (released || storingHelpers.isEmpty()) {
            return;
        }
        released = true;
        renewalTimer.ifPresent(timer -> timer.cancel(false));
        for (HelperTarget helper : storingHelpers) {
            context.calls().release(helper.target(), name).exceptionally(failure -> logFailure(helper, failure));
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
