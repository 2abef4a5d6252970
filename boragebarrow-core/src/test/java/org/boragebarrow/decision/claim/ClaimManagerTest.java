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

class ClaimManagerTest {
    private static final AttemptId ATTEMPT = AttemptId.parse("host#1/1");
    private static final ClaimKey KEY = ClaimKey.of(OrganisationId.of("kalibrasi"), "booking");
    private static final TableAnswer NO_ROW = new TableAnswer.RowRead(Optional.empty());
    private static final TableAnswer CONFLICT = new TableAnswer.CommitFinished(new TableService.Conflict());
    private static final long DEADLINE = Duration.ofSeconds(1).toNanos();
    private static final long PERIOD_CALL = 1;
    private static final long FIRST_CALL = 2;

    private final ClaimManager manager = new ClaimManager();

    @Example
    void aLateReadDoesNotResumeAnAbandonedAttempt() {
        apply(new ClaimManagerEvent.Requested(ATTEMPT, KEY, "hash", DEADLINE), 0);
        apply(new ClaimManagerEvent.Answered(PERIOD_CALL, NO_ROW), 0);
        assertThat(apply(new ClaimManagerEvent.Ticked(), DEADLINE / 2))
                .containsExactly(new ClaimManagerEffect.Read(FIRST_CALL, KEY.rowKey()));
        apply(new ClaimManagerEvent.Abandoned(ATTEMPT), DEADLINE / 2);
        assertThat(apply(new ClaimManagerEvent.Answered(FIRST_CALL, NO_ROW), DEADLINE / 2))
                .isEmpty();
        assertThat(manager.activeAttempts()).isEqualTo(0);
    }

    @Example
    void aClaimIsReleasedAfterAConflictBecauseADuplicateSwapMayHaveTakenEffect() {
        apply(new ClaimManagerEvent.Ticked(), 0);
        apply(new ClaimManagerEvent.Answered(PERIOD_CALL, NO_ROW), 0);
        apply(new ClaimManagerEvent.Requested(ATTEMPT, KEY, "hash", DEADLINE), 0);
        apply(new ClaimManagerEvent.Answered(FIRST_CALL, CONFLICT), 0);
        apply(new ClaimManagerEvent.Answered(FIRST_CALL + 1, new TableAnswer.ReadFailed()), 0);
        apply(new ClaimManagerEvent.Ticked(), DEADLINE);
        assertThat(manager.activeAttempts()).isEqualTo(1);
        ImmutableList<ClaimManagerEffect> effects =
                apply(new ClaimManagerEvent.Answered(FIRST_CALL + 2, NO_ROW), DEADLINE);
        assertThat(((ClaimManagerEffect.Swap) effects.get(0)).swap().value()).contains("released");
    }

    private ImmutableList<ClaimManagerEffect> apply(ClaimManagerEvent event, long nowNanos) {
        return manager.apply(event, nowNanos);
    }
}
