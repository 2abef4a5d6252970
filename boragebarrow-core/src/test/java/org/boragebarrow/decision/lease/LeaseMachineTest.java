package org.boragebarrow.decision.lease;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.port.TableService;

import static com.google.common.truth.Truth.assertThat;

class LeaseMachineTest {
    private static final Duration LENGTH = Duration.ofSeconds(10);
    private static final Duration USABLE_LENGTH = Duration.ofSeconds(8);
    private static final HostIncarnation SELF = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));

    private final LeaseMachine lease = new LeaseMachine("planner", SELF, LENGTH);

    @Example
    void theLeaseExpiresAMarginBeforeItsLengthHasPassedSinceTheWriteWasSent() {
        long answeredNanos = Duration.ofSeconds(1).toNanos();
        assertThat(acquire(answeredNanos)).contains(new LeaseEffect.Held(1, USABLE_LENGTH.toNanos()));
        assertThat(lease.epoch(USABLE_LENGTH.toNanos() - 1)).isPresent();
        assertThat(lease.epoch(USABLE_LENGTH.toNanos())).isEmpty();
    }

    @Example
    void aHolderThatWasPausedLosesTheLeaseWithTheNextEvent() {
        acquire(0);
        assertThat(lease.apply(new LeaseEvent.Ticked(), LENGTH.toNanos())).contains(new LeaseEffect.Lost(1));
    }

    @Example
    void anAnswerAfterTheLeaseWouldHaveExpiredDoesNotAcquireIt() {
        assertThat(acquire(USABLE_LENGTH.toNanos())).doesNotContain(new LeaseEffect.Held(1, USABLE_LENGTH.toNanos()));
        assertThat(lease.epoch(USABLE_LENGTH.toNanos())).isEmpty();
    }

    /** At time 0, reads an absent row and writes the first one; completes the write at the given time. */
    private ImmutableList<LeaseEffect> acquire(long answeredNanos) {
        lease.apply(new LeaseEvent.WantedChanged(true), 0);
        lease.apply(new LeaseEvent.Answered(1, new TableAnswer.RowRead(Optional.empty())), 0);
        TableAnswer committed = new TableAnswer.CommitFinished(new TableService.Committed());
        return lease.apply(new LeaseEvent.Answered(2, committed), answeredNanos);
    }
}
