package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.util.concurrent.Future;
import org.boragebarrow.decision.assign.Helper;

/**
 * The memory that helpers set aside for one prompt; confined to the event loop.
 *
 * <p>Held for a short time and renewed, so that a host that dies leaves nothing behind for long.
 */
final class PromptReservations {
    /** How long memory stays set aside without renewal: targets must have it back four seconds after the last use. */
    private static final Duration HOLD = Duration.ofMillis(2_800);

    /** Two renewals may be lost within the time that memory is held. */
    private static final Duration RENEWAL = Duration.ofMillis(900);

    private final RelayContext context;
    private final ImmutableList<Helper> storing;
    private final String name;
    private Optional<Future<?>> renewal = Optional.empty();
    private boolean released;

    PromptReservations(RelayContext context, ImmutableList<Helper> helpers, String name) {
        this.context = context;
        this.name = name;
        this.storing =
                helpers.stream().filter(helper -> helper.storedTokens() > 0).collect(ImmutableList.toImmutableList());
    }

    /** Returns whether nothing has to be set aside. */
    boolean isEmpty() {
        return storing.isEmpty();
    }

    /** Sets all aside, one target after the other in the order of their ids, so that two prompts never wait in a ring. */
    CompletableFuture<Void> reserve() {
        ImmutableList<Helper> ordered = storing.stream()
                .sorted((one, other) ->
                        one.target().id().compareTo(other.target().id()))
                .collect(ImmutableList.toImmutableList());
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (Helper helper : ordered) {
            all = all.thenCompose(before -> reserve(helper));
        }
        scheduleRenewal();
        return all;
    }

    private CompletableFuture<Void> reserve(Helper helper) {
        if (released) {
            return CompletableFuture.failedFuture(new CancellationException("the attempt ended"));
        }
        return context.calls().reserve(helper.target(), name, helper.storedTokens(), HOLD);
    }

    private void scheduleRenewal() {
        renewal = Optional.of(context.loop().schedule(this::renew, RENEWAL.toMillis(), TimeUnit.MILLISECONDS));
    }

    private void renew() {
        if (released) {
            return;
        }
        for (Helper helper : storing) {
            reserve(helper).exceptionally(failure -> logFailure(helper, failure));
        }
        scheduleRenewal();
    }

    /** Gives all back; does nothing the second time. */
    void release() {
        if (released || storing.isEmpty()) {
            return;
        }
        released = true;
        renewal.ifPresent(timer -> timer.cancel(false));
        for (Helper helper : storing) {
            context.calls().release(helper.target(), name).exceptionally(failure -> logFailure(helper, failure));
        }
    }

    private Void logFailure(Helper helper, Throwable failure) {
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
