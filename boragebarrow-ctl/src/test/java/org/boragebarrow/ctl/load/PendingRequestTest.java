package org.boragebarrow.ctl.load;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import net.jqwik.api.Example;
import org.boragebarrow.ctl.caller.AnswerEnd;

import static com.google.common.truth.Truth.assertThat;

class PendingRequestTest {
    private final List<Result> results = new ArrayList<>();
    private final Arrival arrival = ArrivalPlan.of(Scenarios.simple()).get(0);
    private long now = 5;
    private final PendingRequest pending = new PendingRequest(arrival, () -> now, results::add);

    @Example
    void theTimeOfTheFirstTokenIsRecorded() {
        now = 8;
        pending.onToken("a ");
        now = 9;
        pending.onToken("b ");
        AnswerEnd end = new AnswerEnd.Complete(2, 1);
        pending.onEnd(end);
        assertThat(results).containsExactly(new Result(arrival, 5, OptionalLong.of(8), 9, end, "a b "));
    }

    @Example
    void anExpiredRequestIsCancelledAndItsLateEndIsIgnored() {
        List<String> cancelled = new ArrayList<>();
        pending.expire(() -> cancelled.add("cancelled"));
        pending.onEnd(new AnswerEnd.Complete(2, 1));
        assertThat(cancelled).hasSize(1);
        assertThat(results).hasSize(1);
        assertThat(results.get(0).end()).isInstanceOf(AnswerEnd.Cut.class);
    }

    @Example
    void aRequestThatHasEndedDoesNotExpire() {
        pending.onEnd(new AnswerEnd.Complete(2, 1));
        pending.expire(() -> {
            throw new AssertionError("cancelled");
        });
        assertThat(results).hasSize(1);
    }
}
