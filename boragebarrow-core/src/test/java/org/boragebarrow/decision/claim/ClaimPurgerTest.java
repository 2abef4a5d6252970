package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.decision.table.TableDriver;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;
import org.boragebarrow.testing.FakeTable;

import static com.google.common.truth.Truth.assertThat;

class ClaimPurgerTest {
    private static final long SEED = 7;
    private static final OrganisationId ORGANISATION = OrganisationId.of("kalibrasi");
    private static final AttemptId ATTEMPT = AttemptId.parse("host#1/1");
    private static final int CLAIM_COUNT = 3 * ClaimPurger.MAX_SCAN_ROWS;

    private final FakeTable table = FakeTable.immediate(SEED);
    private final TableDriver driver = new TableDriver(table);
    private final ClaimPurger purger = new ClaimPurger();
    private final List<String> deletedObjects = new ArrayList<>();
    private long nowNanos = 1;

    @Example
    void claimsAreDeletedAfterTheRetentionWindowAndNotBefore() {
        for (int i = 0; i < CLAIM_COUNT; i++) {
            put(i, Claim.of(Claim.State.CLAIMED, ATTEMPT, "hash", 1 + i % 2));
        }
        start();
        runUntilPeriod(ClaimPurger.RETAINED_PERIODS);
        assertThat(claimCount()).isEqualTo(CLAIM_COUNT);
        runUntilPeriod(ClaimPurger.RETAINED_PERIODS + 1);
        advance(Duration.ofMinutes(10));
        assertThat(claimCount()).isEqualTo(CLAIM_COUNT / 2);
        runUntilPeriod(ClaimPurger.RETAINED_PERIODS + 2);
        advance(Duration.ofMinutes(10));
        assertThat(claimCount()).isEqualTo(0);
    }

    @Example
    void thePeriodIsIncrementedAtMostOnceAnHour() {
        start();
        assertThat(period()).isEqualTo(1);
        advance(PeriodClock.PERIOD_LENGTH.minusMinutes(1));
        assertThat(period()).isEqualTo(1);
        advance(Duration.ofMinutes(12));
        assertThat(period()).isEqualTo(2);
    }

    @Example
    void theBodyOfAPurgedAnswerIsDeletedFromTheObjectStore() {
        ClaimAnswer answer = new ClaimAnswer(200, ImmutableListMultimap.of(), new ClaimAnswer.Stored("answers/1"));
        put(0, Claim.done(ATTEMPT, "hash", 1, answer));
        start();
        runUntilPeriod(ClaimPurger.RETAINED_PERIODS + 1);
        advance(Duration.ofMinutes(10));
        assertThat(deletedObjects).containsExactly("answers/1");
    }

    private void put(int index, Claim claim) {
        String row = ClaimKey.of(ORGANISATION, "key-" + index).rowKey();
        table.rows().commit(ImmutableList.of(), ImmutableList.of(Write.put(row, ClaimRows.encode(claim))));
    }

    private void start() {
        drive(new ClaimPurgerEvent.OrganisationsListed(ImmutableSet.of(ORGANISATION)));
        drive(new ClaimPurgerEvent.RoleChanged(true));
    }

    private void runUntilPeriod(long number) {
        while (period() < number) {
            advance(Duration.ofMinutes(5));
        }
    }

    private void advance(Duration time) {
        long end = nowNanos + time.toNanos();
        while (nowNanos < end) {
            nowNanos += Duration.ofSeconds(1).toNanos();
            drive(new ClaimPurgerEvent.Ticked());
        }
    }

    private void drive(ClaimPurgerEvent event) {
        for (ClaimPurgerEffect effect : purger.apply(event, nowNanos)) {
            switch (effect) {
                case ClaimPurgerEffect.Call call -> makeCall(call.callId(), call.table());
                case ClaimPurgerEffect.DeleteObject delete -> deletedObjects.add(delete.objectKey());
            }
        }
    }

    private void makeCall(long call, TableCall tableCall) {
        driver.call(tableCall, answer -> drive(new ClaimPurgerEvent.Answered(call, answer)));
    }

    private long period() {
        Optional<Row> row = table.rows().get(ClaimRows.PERIOD_KEY);
        return PeriodReader.parse(row);
    }

    private int claimCount() {
        return table.rows()
                .scan(ClaimRows.prefix(ORGANISATION), Integer.MAX_VALUE)
                .size();
    }
}
