package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;

/**
 * Determines which change a host must have applied before it serves requests.
 *
 * <p>The head is verified by a commit without writes, so that a stale read can't make a host serve with fewer changes
 * in effect than its previous incarnation had. Only after the table has failed several times in a row are the reports
 * of ready peers, or an unverified read of the head, accepted instead.
 */
final class Readiness {
    static final int MAX_FAILURES = 3;

    private boolean ready;
    private int failures;
    private long readHead;
    private Optional<Long> verifiedHead = Optional.empty();
    private boolean fallbackAvailable;

    boolean isReady() {
        return ready;
    }

    /** Records that a ready peer has reported which changes it has applied. */
    void peerReported() {
        fallbackAvailable = true;
    }

    /** Handles a read of the head and returns the call that verifies it, unless the head is no longer needed. */
    Optional<TableCall> headRead(Optional<Row> row) {
        if (ready || verifiedHead.isPresent()) {
            return Optional.empty();
        }
        fallbackAvailable = true;
        readHead = row.map(head -> Long.parseLong(head.value())).orElse(0L);
        Condition unchanged =
                new Condition(ChangeRows.HEAD, row.map(Row::version).orElse(0L));
        return Optional.of(new TableCall.Commit(ImmutableList.of(unchanged), ImmutableList.of()));
    }

    void headReadFailed() {
        failures++;
    }

    void verificationCompleted(CommitResult result) {
        switch (result) {
            case TableService.Committed committed -> verifiedHead = Optional.of(readHead);
            case TableService.Conflict conflict -> failures = 0;
            case TableService.Unavailable unavailable -> failures++;
            case TableService.Unknown unknown -> failures++;
        }
    }

    /**
     * Updates the readiness and returns whether the host has just become ready.
     *
     * @param highestKnown the number of the highest change known from any source
     * @param peerWaitElapsed whether peers have had enough time to report
     */
    boolean updateReady(long applied, long highestKnown, boolean peerWaitElapsed) {
        if (ready) {
            return false;
        }
        boolean verified = verifiedHead.isPresent() && applied >= verifiedHead.get();
        boolean tableFails = failures >= MAX_FAILURES && peerWaitElapsed;
        ready = verified || (tableFails && fallbackAvailable && applied >= highestKnown);
        return ready;
    }
}
