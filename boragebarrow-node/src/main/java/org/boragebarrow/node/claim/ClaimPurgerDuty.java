package org.boragebarrow.node.claim;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.claim.ClaimPurger;
import org.boragebarrow.decision.claim.ClaimPurgerEffect;
import org.boragebarrow.decision.claim.ClaimPurgerEvent;
import org.boragebarrow.decision.table.TableCalls;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.port.ObjectStore;
import org.boragebarrow.port.TableService;

import static com.google.common.base.Preconditions.checkNotNull;

/** Runs {@link ClaimPurger} on a dedicated thread. Thread-safe. */
final class ClaimPurgerDuty implements AutoCloseable {

    private final ClaimPurger purger = new ClaimPurger();
    private final TableService table;
    private final ObjectStore objects;
    private final Ticker ticker;
    private final DutyRing<Input> ring;

    /** An event for the duty's thread. */
    private sealed interface Input {}

    private record Tick(boolean holdsRole, ImmutableSet<OrganisationId> organisations) implements Input {}

    private record Answer(ClaimPurgerEvent.Answered event) implements Input {}

    ClaimPurgerDuty(TableService table, ObjectStore objects, Ticker ticker, DutyRing.Factory rings) {
        this.table = checkNotNull(table);
        this.objects = checkNotNull(objects);
        this.ticker = checkNotNull(ticker);
        this.ring = rings.start("claim-purger", this::handle);
    }

    /** Advances the time; the purger scans the claims of the organisations only while {@code holdsRole} is true. */
    void tick(boolean holdsRole, ImmutableSet<OrganisationId> organisations) {
        ring.offer(new Tick(holdsRole, organisations));
    }

    private void handle(Input input) {
        switch (input) {
            case Tick tick -> {
                apply(new ClaimPurgerEvent.OrganisationsListed(tick.organisations()));
                apply(new ClaimPurgerEvent.RoleChanged(tick.holdsRole()));
            }
            case Answer answer -> apply(answer.event());
        }
    }

    private void apply(ClaimPurgerEvent event) {
        for (ClaimPurgerEffect effect : purger.apply(event, ticker.read())) {
            switch (effect) {
                case ClaimPurgerEffect.Call call ->
                    TableCalls.make(call.table(), table)
                            .thenAccept(answer -> ring.offerWithRetry(
                                    new Answer(new ClaimPurgerEvent.Answered(call.callId(), answer))));
                // If the deletion fails, the body stays in the object store.
                case ClaimPurgerEffect.DeleteObject deletion -> objects.delete(deletion.objectKey());
            }
        }
    }

    @Override
    public void close() {
        ring.close();
    }
}
