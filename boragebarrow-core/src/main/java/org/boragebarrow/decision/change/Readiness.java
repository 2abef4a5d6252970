package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;

/**
 * Decides which change a host must have applied before it serves.
 *
 * <p>The head is proven by a commit without writes, so that a stale read can't make a host serve with less than its
 * predecessor had in force. Only when the table has failed several times in a row does what peers told, or an unproven
 * read of the head, count instead.
 */
final class Readiness {
    static final int MAX_FAILURES = 3;

    private boolean ready;
    private int failures;
    private long readHead;
    private Optional<Long> provenHead = Optional.empty();
    private boolean heard;

    boolean isReady() {
        return ready;
    }

    /** Notes that a ready peer told what it has applied. */
    void peerTold() {
        heard = true;
    }

    /** Takes a read of the head in and returns the call that proves it, if that is still of use. */
    Optional<TableCall> headRead(Optional<Row> row) {
        if (ready || provenHead.isPresent()) {
            return Optional.empty();
        }
        heard = true;
        readHead = row.map(head -> Long.parseLong(head.value())).orElse(0L);
        Condition same = new Condition(ChangeRows.HEAD, row.map(Row::version).orElse(0L));
        return Optional.of(new TableCall.Commit(ImmutableList.of(same), ImmutableList.of()));
    }

    void headReadFailed() {
        failures++;
    }

    void proofAnswered(CommitResult result) {
        switch (result) {
            case TableService.Committed committed -> provenHead = Optional.of(readHead);
            case TableService.Conflict conflict -> failures = 0;
            case TableService.Unavailable unavailable -> failures++;
            case TableService.Unknown unknown -> failures++;
        }
    }

    /**
     * Returns whether the host has just become ready.
     *
     * @param known the highest change that the host has heard of in any way
     */
    boolean becomesReady(long applied, long known, boolean peersHeardLongEnough) {
        if (ready) {
            return false;
        }
        boolean proven = provenHead.isPresent() && applied >= provenHead.get();
        boolean tableFails = failures >= MAX_FAILURES && peersHeardLongEnough;
        ready = proven || (tableFails && heard && applied >= known);
        return ready;
    }
}
