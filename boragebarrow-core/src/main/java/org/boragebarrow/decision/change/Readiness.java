package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;

/**
 * Decides which change a host must have applied before it serves.
 *
 * <p>The head is proven by a commit without writes, so that a stale read can't make a host serve with less than its
 * predecessor had in force. Only when the table does not answer do ready peers count instead.
 */
final class Readiness {
    private boolean ready;
    private boolean tableFailed;
    private long readHead;
    private Optional<Long> provenHead = Optional.empty();
    private Optional<Long> peerNumber = Optional.empty();

    boolean isReady() {
        return ready;
    }

    void peerTold(long number) {
        peerNumber = Optional.of(Math.max(number, peerNumber.orElse(0L)));
    }

    /** Takes a read of the head in and returns the call that proves it, if that is still of use. */
    Optional<TableCall> headRead(Optional<Row> row) {
        if (ready || provenHead.isPresent()) {
            return Optional.empty();
        }
        readHead = row.map(head -> Long.parseLong(head.value())).orElse(0L);
        Condition same = new Condition(ChangeRows.HEAD, row.map(Row::version).orElse(0L));
        return Optional.of(new TableCall.Commit(ImmutableList.of(same), ImmutableList.of()));
    }

    void proofAnswered(TableAnswer answer) {
        if (answer instanceof TableAnswer.Finished finished && finished.result() instanceof TableService.Committed) {
            provenHead = Optional.of(readHead);
        }
        tableFailed |= answer instanceof TableAnswer.Finished finished
                && (finished.result() instanceof TableService.Unavailable
                        || finished.result() instanceof TableService.Unknown);
    }

    void headReadFailed() {
        tableFailed = true;
    }

    /** Returns whether the host has just become ready. */
    boolean becomesReady(long applied, boolean peersHeardLongEnough) {
        if (ready) {
            return false;
        }
        boolean byTable = provenHead.isPresent() && applied >= provenHead.get();
        boolean byPeers = tableFailed
                && peersHeardLongEnough
                && provenHead.isEmpty()
                && peerNumber.isPresent()
                && applied >= peerNumber.get();
        ready = byTable || byPeers;
        return ready;
    }
}
