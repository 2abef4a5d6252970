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
    public static final int KEPT_PERIODS = 28;

    /** The maximum number of rows that one step reads. */
    static final int MAX_ROWS = 200;

    private static final long STEP_NANOS = Duration.ofMillis(50).toNanos();
    private static final String HEX = "0123456789abcdef";

    private final PeriodClock clock = new PeriodClock();
    private final Deque<String> prefixes = new ArrayDeque<>();
    private ImmutableSet<OrganisationId> organisations = ImmutableSet.of();
    private ImmutableList<Row> expired = ImmutableList.of();
    private String prefix = "";
    private long lastExpired;
    private boolean held;
    private boolean calling;
    private boolean clockCall;
    private long lastCall;
    private long nextNanos;

    @Override
    public ImmutableList<ClaimPurgerEffect> apply(ClaimPurgerEvent event, long nowNanos) {
        ImmutableList.Builder<ClaimPurgerEffect> effects = ImmutableList.builder();
        switch (event) {
            case RoleChanged changed -> held = changed.held();
            case OrganisationsListed listed -> organisations = listed.organisations();
            case Answered answered -> answer(answered, nowNanos, effects);
            case Ticked ticked -> {
                // The next step is started below, after any event, if it is due.
            }
        }
        if (held && !calling) {
            step(nowNanos, effects);
        }
        return effects.build();
    }

    private void step(long nowNanos, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        if (clock.isDue(nowNanos)) {
            call(clock.read(nowNanos), true, effects);
        } else if (!prefixes.isEmpty() && nowNanos - nextNanos >= 0) {
            nextNanos = nowNanos + STEP_NANOS;
            prefix = prefixes.remove();
            call(new TableCall.Scan(prefix, MAX_ROWS), false, effects);
        }
    }

    private void call(TableCall table, boolean isClockCall, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        lastCall++;
        calling = true;
        clockCall = isClockCall;
        effects.add(new Call(lastCall, table));
    }

    private void answer(Answered answered, long nowNanos, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        if (!calling || answered.call() != lastCall) {
            return;
        }
        calling = false;
        if (clockCall) {
            clock.answer(answered.answer(), nowNanos).ifPresent(write -> call(write, true, effects));
            clock.takeRaised().ifPresent(this::startRound);
        } else if (answered.answer() instanceof TableAnswer.Scanned scanned) {
            look(scanned.rows(), effects);
        } else if (answered.answer() instanceof TableAnswer.Finished finished
                && finished.result() instanceof TableService.Committed) {
            deleted(effects);
        }
        // A failed step is not retried: the next round covers its rows.
    }

    private void startRound(long period) {
        lastExpired = period - KEPT_PERIODS;
        prefixes.clear();
        if (lastExpired > 0) {
            organisations.forEach(organisation -> prefixes.add(ClaimRows.prefix(organisation)));
        }
    }

    private void look(ImmutableList<Row> rows, ImmutableList.Builder<ClaimPurgerEffect> effects) {
        expired = rows.stream()
                .filter(row -> ClaimRows.decode(row.value()).period() <= lastExpired)
                .collect(ImmutableList.toImmutableList());
        boolean more = rows.size() == MAX_ROWS;
        if (!expired.isEmpty()) {
            if (more) {
                prefixes.addFirst(prefix);
            }
            call(deletion(), false, effects);
        } else if (more) {
            // No row of this scan has expired, and the prefix has more rows: scan it by the next digit of the hash.
            HEX.chars().forEach(digit -> prefixes.add(prefix + (char) digit));
        }
    }

    private TableCall deletion() {
        ImmutableList.Builder<Condition> conditions = ImmutableList.builder();
        ImmutableList.Builder<Write> writes = ImmutableList.builder();
        for (Row row : expired) {
            conditions.add(new Condition(row.key(), row.version()));
            writes.add(Write.delete(row.key()));
        }
        return new TableCall.Commit(conditions.build(), writes.build());
    }

    private void deleted(ImmutableList.Builder<ClaimPurgerEffect> effects) {
        for (Row row : expired) {
            Optional<ClaimAnswer> answer = ClaimRows.decode(row.value()).answer();
            if (answer.isPresent() && answer.get().body() instanceof ClaimAnswer.Stored stored) {
                effects.add(new DeleteObject(stored.objectKey()));
            }
        }
    }
}
