package org.boragebarrow.node.claim;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.google.common.base.Ticker;
import org.boragebarrow.decision.claim.ClaimSwap;
import org.boragebarrow.decision.claim.ClaimWriter;
import org.boragebarrow.decision.claim.ClaimWriterEffect;
import org.boragebarrow.decision.claim.ClaimWriterEvent;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCalls;
import org.boragebarrow.node.ring.DutyRing;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Runs this host's {@link ClaimWriter} on a dedicated thread, for the swaps of this host and those that other hosts of
 * its zone send to it. Thread-safe.
 */
final class ClaimWriterDuty implements AutoCloseable {

    private final ClaimWriter writer = new ClaimWriter();
    private final TableService table;
    private final Ticker ticker;
    private final DutyRing<ClaimWriterEvent> ring;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final Map<Long, Consumer<CommitResult>> pendingSwaps = new ConcurrentHashMap<>();

    ClaimWriterDuty(TableService table, Ticker ticker, DutyRing.Factory rings) {
        this.table = checkNotNull(table);
        this.ticker = checkNotNull(ticker);
        this.ring = rings.start("claim-writer", this::handle);
    }

    /** Applies a swap. The listener is called once: on another thread, or by this method if the queue is full. */
    void write(ClaimSwap swap, Consumer<CommitResult> listener) {
        long request = lastRequestNumber.incrementAndGet();
        pendingSwaps.put(request, listener);
        if (!ring.offer(new ClaimWriterEvent.Requested(request, swap))) {
            pendingSwaps.remove(request);
            listener.accept(new TableService.Unavailable());
        }
    }

    private void handle(ClaimWriterEvent event) {
        for (ClaimWriterEffect effect : writer.apply(event, ticker.read())) {
            switch (effect) {
                case ClaimWriterEffect.Commit commit -> commit(commit);
                case ClaimWriterEffect.Finished finished -> {
                    Consumer<CommitResult> listener = pendingSwaps.remove(finished.request());
                    listener.accept(finished.result());
                }
            }
        }
    }

    private void commit(ClaimWriterEffect.Commit commit) {
        TableCalls.make(commit.transaction(), table).thenAccept(answer -> {
            CommitResult result = answer instanceof TableAnswer.CommitFinished finished
                    ? finished.result()
                    : new TableService.Unknown();
            ring.offerWithRetry(new ClaimWriterEvent.Answered(commit.callId(), result));
        });
    }

    @Override
    public void close() {
        ring.close();
    }
}
