package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.port.TableService;

import static com.google.common.truth.Truth.assertThat;

class ClaimKeeperTest {
    private static final AttemptId ATTEMPT = AttemptId.parse("host#1/1");
    private static final ClaimKey KEY = ClaimKey.of(OrganisationId.of("kalibrasi"), "booking");
    private static final TableAnswer NO_ROW = new TableAnswer.Found(Optional.empty());
    private static final TableAnswer CONFLICT = new TableAnswer.Finished(new TableService.Conflict());
    private static final long DEADLINE = Duration.ofSeconds(1).toNanos();
    private static final long PERIOD_CALL = 1;
    private static final long FIRST_CALL = 2;

    private final ClaimKeeper keeper = new ClaimKeeper();

    @Example
    void aLateReadDoesNotBringAnAbandonedAttemptBack() {
        apply(new ClaimKeeperEvent.Requested(ATTEMPT, KEY, "hash", DEADLINE), 0);
        apply(new ClaimKeeperEvent.Answered(PERIOD_CALL, NO_ROW), 0);
        assertThat(apply(new ClaimKeeperEvent.Ticked(), DEADLINE / 2))
                .containsExactly(new ClaimKeeperEffect.Read(FIRST_CALL, KEY.row()));
        apply(new ClaimKeeperEvent.Abandoned(ATTEMPT), DEADLINE / 2);
        assertThat(apply(new ClaimKeeperEvent.Answered(FIRST_CALL, NO_ROW), DEADLINE / 2))
                .isEmpty();
        assertThat(keeper.unsettled()).isEqualTo(0);
    }

    @Example
    void anAttemptWhoseSwapMayHaveBeenDoubledReleasesItsClaimAlthoughItWasToldOfAConflict() {
        apply(new ClaimKeeperEvent.Ticked(), 0);
        apply(new ClaimKeeperEvent.Answered(PERIOD_CALL, NO_ROW), 0);
        apply(new ClaimKeeperEvent.Requested(ATTEMPT, KEY, "hash", DEADLINE), 0);
        apply(new ClaimKeeperEvent.Answered(FIRST_CALL, CONFLICT), 0);
        apply(new ClaimKeeperEvent.Answered(FIRST_CALL + 1, new TableAnswer.ReadFailed()), 0);
        apply(new ClaimKeeperEvent.Ticked(), DEADLINE);
        assertThat(keeper.unsettled()).isEqualTo(1);
        ImmutableList<ClaimKeeperEffect> effects =
                apply(new ClaimKeeperEvent.Answered(FIRST_CALL + 2, NO_ROW), DEADLINE);
        assertThat(((ClaimKeeperEffect.Swap) effects.get(0)).swap().value()).contains("released");
    }

    private ImmutableList<ClaimKeeperEffect> apply(ClaimKeeperEvent event, long nowNanos) {
        return keeper.apply(event, nowNanos);
    }
}
