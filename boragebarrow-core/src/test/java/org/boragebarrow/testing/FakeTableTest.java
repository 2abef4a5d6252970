package org.boragebarrow.testing;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Committed;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Conflict;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Unavailable;
import org.boragebarrow.port.TableService.Unknown;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.truth.Truth.assertThat;

class FakeTableTest {
    private static final long SEED = 7;
    private static final int INSERTS = 8;

    private final FakeTable table = FakeTable.immediate(SEED);

    @Example
    void theSecondInsertOfAKeyConflicts() {
        assertThat(insert(table).join()).isEqualTo(new Committed());
        assertThat(insert(table).join()).isEqualTo(new Conflict());
    }

    @Example
    void aCommitLostBeforeItsEffectIsUnknownAndNotApplied() {
        table.failNextCommit(CommitFault.LOST_BEFORE_EFFECT);
        assertThat(insert(table).join()).isEqualTo(new Unknown());
        assertThat(exists()).isFalse();
    }

    @Example
    void aCommitLostAfterItsEffectIsUnknownAndApplied() {
        table.failNextCommit(CommitFault.LOST_AFTER_EFFECT);
        assertThat(insert(table).join()).isEqualTo(new Unknown());
        assertThat(exists()).isTrue();
    }

    @Example
    void aDelayedCommitIsAppliedAfterItsCallReturnedUnknown() {
        table.failNextCommit(CommitFault.DELAYED);
        assertThat(insert(table).join()).isEqualTo(new Unknown());
        assertThat(exists()).isFalse();
        table.runStep();
        assertThat(exists()).isTrue();
    }

    @Example
    void anUnavailableTableRefusesCommitsAndFailsReads() {
        table.setDown(true);
        assertThat(insert(table).join()).isEqualTo(new Unavailable());
        assertThat(table.get("a").isCompletedExceptionally()).isTrue();
        assertThat(table.scan("", 1).isCompletedExceptionally()).isTrue();
    }

    @Example
    void staleReadsLagByNoMoreThanTheMaximum() {
        for (int i = 0; i < 20; i++) {
            table.commit(ImmutableList.of(), ImmutableList.of(Write.put("a", Integer.toString(i))));
        }
        table.setMaxStaleCommits(3);
        boolean stale = false;
        for (int i = 0; i < 50; i++) {
            int value = Integer.parseInt(table.get("a").join().map(Row::value).orElseThrow());
            assertThat(value).isAtLeast(16);
            stale |= value < 19;
        }
        assertThat(stale).isTrue();
    }

    @Example
    void stepsOfTwoCommitsCanBeReordered() {
        FakeTable stepped = FakeTable.stepped(SEED);
        CompletableFuture<CommitResult> first = insert(stepped);
        CompletableFuture<CommitResult> second = insert(stepped);
        stepped.runStep(1);
        stepped.runStep(0);
        assertThat(first.isDone()).isFalse();
        stepped.runAllSteps();
        assertThat(first.join()).isEqualTo(new Conflict());
        assertThat(second.join()).isEqualTo(new Committed());
    }

    @Example
    void theSameSeedDrawsTheSameFaults() {
        assertThat(outcomes()).isEqualTo(outcomes());
    }

    @Property(seed = "20261204", tries = 300)
    void commitResultsAgreeWithTheTable(@ForAll long seed) {
        FakeTable fake = FakeTable.stepped(seed);
        fake.setFaultRates(new FaultRates(0.1, 0.1, 0.1, 0.1));
        ImmutableList<CompletableFuture<CommitResult>> inserts = insertsOfOneKey(fake);
        while (fake.runRandomStep()) {
            continue;
        }
        Optional<Integer> winner = fake.rows().get("a").map(row -> Integer.valueOf(row.value()));
        for (int i = 0; i < INSERTS; i++) {
            boolean won = winner.equals(Optional.of(i));
            switch (inserts.get(i).join()) {
                case Committed committed -> assertThat(won).isTrue();
                case Conflict conflict -> assertThat(won).isFalse();
                case Unavailable unavailable -> assertThat(won).isFalse();
                case Unknown unknown -> assertThat(fake.rows().commits()).isAtMost(1);
            }
        }
    }

    private static ImmutableList<CompletableFuture<CommitResult>> insertsOfOneKey(FakeTable table) {
        ImmutableList.Builder<CompletableFuture<CommitResult>> inserts = ImmutableList.builder();
        for (int i = 0; i < INSERTS; i++) {
            Write write = Write.put("a", Integer.toString(i));
            inserts.add(table.commit(ImmutableList.of(Condition.absent("a")), ImmutableList.of(write)));
        }
        return inserts.build();
    }

    private static ImmutableList<CommitResult> outcomes() {
        FakeTable table = FakeTable.stepped(SEED);
        table.setFaultRates(new FaultRates(0.2, 0.2, 0.2, 0.2));
        ImmutableList.Builder<CompletableFuture<CommitResult>> results = ImmutableList.builder();
        for (int i = 0; i < 100; i++) {
            results.add(insert(table));
        }
        while (table.runRandomStep()) {
            continue;
        }
        return results.build().stream().map(CompletableFuture::join).collect(ImmutableList.toImmutableList());
    }

    private boolean exists() {
        return table.rows().get("a").isPresent();
    }

    private static CompletableFuture<CommitResult> insert(FakeTable table) {
        return table.commit(ImmutableList.of(Condition.absent("a")), ImmutableList.of(Write.put("a", "1")));
    }
}
