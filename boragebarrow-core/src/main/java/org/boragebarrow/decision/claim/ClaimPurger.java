package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.claim.ClaimPurgerEffect.Call;
import org.boragebarrow.decision.claim.ClaimPurgerEffect.DeleteObject;
import org.boragebarrow.decision.claim.ClaimPurgerEvent.Answered;
import org.boragebarrow.decision.claim.ClaimPurgerEvent.OrganisationsListed;
import org.boragebarrow.decision.claim.ClaimPurgerEvent.RoleChanged;
import org.boragebarrow.decision.claim.ClaimPurgerEvent.Ticked;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

/**
 * Deletes claims after the retention window: increments the retention period and, after each increment, scans the
 * claims of all organisations in bounded steps, one call at a time.
 *
 * <p>A claim is deleted only at the version at which it was read, so that a claim that was written in the meantime
 * stays.
 */
public final class ClaimPurger implements Machine<ClaimPurgerEvent, ClaimPurgerEffect> {
    /**
     * The number of periods for which a claim is retained; covers a day although the period number in a claim may have
     * been read up to two hours before the claim was written.
     */
    public static final int RETAINED_PERIODS = 28;

    /** The maximum number of rows that one step reads. */
    static final int MAX_SCAN_ROWS = 200;

    private static final long SCAN_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();
    private static final String HEX_DIGITS = "0123456789abcdef";

    private final PeriodClock periodClock = new PeriodClock();
    private final Deque<String> pendingPrefixes = new ArrayDeque<>();
    private ImmutableSet<OrganisationId> organisations = ImmutableSet.of();
    private ImmutableList<Row> expired = ImmutableList.of();
    private String scannedPrefix = "";
    private long lastExpiredPeriod;
    private boolean roleHeld;
    private boolean callPending;
    private boolean clockCall;
    private long lastCallId;
    private long nextScanNanos;

    @Override
    public ImmutableList<ClaimPurgerEffect> apply(ClaimPurgerEvent event, long nowNanos) {
        ImmutableList.Builder<ClaimPurgerEffect> effects = ImmutableList.builder();
        switch (event) {
            case RoleChanged changed -> roleHeld = changed.held();
            case OrganisationsListed listed -> organisations = listed.organisations();
            case Answered answered -> handleAnswer(answered, nowNanos, effects);
            case Ticked ticked -> {
                // The next step is started below, after any event, if it is due.
            }
        }
        if (roleHeld && !callPending) {
            startNextCall(nowNanos, effects);
        }
        return effects.build();
    }

    private void startNextCall(long nowNanos, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        if (periodClock.isDue(nowNanos)) {
            startCall(periodClock.read(nowNanos), true, effects);
        } else if (!pendingPrefixes.isEmpty() && nowNanos - nextScanNanos >= 0) {
            nextScanNanos = nowNanos + SCAN_INTERVAL_NANOS;
            scannedPrefix = pendingPrefixes.remove();
            startCall(new TableCall.Scan(scannedPrefix, MAX_SCAN_ROWS), false, effects);
        }
    }

    private void startCall(TableCall table, boolean isClockCall, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        lastCallId++;
        callPending = true;
        clockCall = isClockCall;
        effects.add(new Call(lastCallId, table));
    }

    private void handleAnswer(Answered answered, long nowNanos, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        if (!callPending || answered.callId() != lastCallId) {
            return;
        }
        callPending = false;
        if (clockCall) {
            periodClock.handleAnswer(answered.answer(), nowNanos).ifPresent(write -> startCall(write, true, effects));
            periodClock.pollIncremented().ifPresent(this::startRound);
        } else if (answered.answer() instanceof TableAnswer.Scanned scanned) {
            handleScan(scanned.rows(), effects);
        } else if (answered.answer() instanceof TableAnswer.CommitFinished finished
                && finished.result() instanceof TableService.Committed) {
            handleDeleted(effects);
        }
        // A failed step is not retried: the next round covers its rows.
    }

    private void startRound(long period) {
        lastExpiredPeriod = period - RETAINED_PERIODS;
        pendingPrefixes.clear();
        if (lastExpiredPeriod > 0) {
            organisations.forEach(organisation -> pendingPrefixes.add(ClaimRows.prefix(organisation)));
        }
    }

    private void handleScan(ImmutableList<Row> rows, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        expired = rows.stream()
                .filter(row -> ClaimRows.decode(row.value()).period() <= lastExpiredPeriod)
                .collect(ImmutableList.toImmutableList());
        boolean more = rows.size() == MAX_SCAN_ROWS;
        if (!expired.isEmpty()) {
            if (more) {
                pendingPrefixes.addFirst(scannedPrefix);
            }
            startCall(deletionOfExpired(), false, effects);
        } else if (more) {
            // No row of this scan has expired, and the prefix has more rows: scan it by the next digit of the hash.
            HEX_DIGITS.chars().forEach(digit -> pendingPrefixes.add(scannedPrefix + (char) digit));
        }
    }

    private TableCall deletionOfExpired() {
        ImmutableList.Builder<Condition> conditions = ImmutableList.builder();
        ImmutableList.Builder<Write> writes = ImmutableList.builder();
        for (Row row : expired) {
            conditions.add(new Condition(row.key(), row.version()));
            writes.add(Write.delete(row.key()));
        }
        return new TableCall.Commit(conditions.build(), writes.build());
    }

    private void handleDeleted(ImmutableList.Builder<ClaimPurgerEffect> effects) {
        for (Row row : expired) {
            Optional<ClaimAnswer> answer = ClaimRows.decode(row.value()).answer();
            if (answer.isPresent() && answer.get().body() instanceof ClaimAnswer.Stored stored) {
                effects.add(new DeleteObject(stored.objectKey()));
            }
        }
    }
}
