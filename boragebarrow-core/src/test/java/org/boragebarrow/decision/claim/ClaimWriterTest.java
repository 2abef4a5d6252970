package org.boragebarrow.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableDriver;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.testing.FakeTable;

import static com.google.common.truth.Truth.assertThat;

class ClaimWriterTest {
    private static final long SEED = 7;

    private final FakeTable table = FakeTable.stepped(SEED);
    private final TableDriver driver = new TableDriver(table);
    private final ClaimWriter writer = new ClaimWriter();
    private final Map<Long, CommitResult> results = new HashMap<>();
    private final List<Integer> batchSizes = new ArrayList<>();

    @Example
    void queuedSwapsShareATransaction() {
        request(40);
        driver.runAllSteps();
        assertThat(batchSizes).containsExactly(1, 1, 38).inOrder();
        assertThat(results.values()).containsNoneIn(List.of(new TableService.Conflict()));
    }

    @Example
    void aConflictDoesNotAffectTheOtherSwapsOfItsBatch() {
        request(1);
        driver.runAllSteps();
        results.clear();
        request(10);
        driver.runAllSteps();
        request(40);
        driver.runAllSteps();
        assertThat(results.get(0L)).isEqualTo(new TableService.Conflict());
        for (long i = 10; i < 40; i++) {
            assertThat(results.get(i)).isEqualTo(new TableService.Committed());
        }
    }

    @Example
    void aSwapBeyondTheQueueLimitIsRefusedWithoutEffect() {
        request(ClaimWriter.MAX_QUEUED + 3);
        assertThat(results).containsExactly(ClaimWriter.MAX_QUEUED + 2L, new TableService.Unavailable());
    }

    /** Requests inserts of the keys with the numbers below the count. */
    private void request(int count) {
        for (long i = 0; i < count; i++) {
            drive(new ClaimWriterEvent.Requested(i, new ClaimSwap("claim/" + i, 0, "value")));
        }
    }

    private void drive(ClaimWriterEvent event) {
        for (ClaimWriterEffect effect : writer.apply(event, 0)) {
            switch (effect) {
                case ClaimWriterEffect.Commit commit -> {
                    batchSizes.add(commit.transaction().writes().size());
                    driver.call(
                            commit.transaction(),
                            answer -> drive(new ClaimWriterEvent.Answered(
                                    commit.callId(), ((TableAnswer.CommitFinished) answer).result())));
                }
                case ClaimWriterEffect.Finished finished -> results.put(finished.request(), finished.result());
            }
        }
    }
}
