package org.boragebarrow.decision.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.claim.ClaimWriterEffect.Commit;
import org.boragebarrow.decision.claim.ClaimWriterEffect.Finished;
import org.boragebarrow.decision.claim.ClaimWriterEvent.Answered;
import org.boragebarrow.decision.claim.ClaimWriterEvent.Requested;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;

/**
 * Batches the swaps of a zone's hosts into transactions, which reduces the number of table writes.
 *
 * <p>It makes no decisions about claims, so any number of writers may run concurrently. A transaction that fails with a
 * conflict is split in halves until the conflicting swap is alone in its transaction.
 */
public final class ClaimWriter implements Machine<ClaimWriterEvent, ClaimWriterEffect> {
    /** The maximum number of queued swaps; any further swap is refused without effect. */
    public static final int MAX_QUEUED = 4_096;

    /** The maximum number of swaps in one transaction. */
    public static final int MAX_BATCH_SIZE = 64;

    private static final int MAX_BATCH_CHARS = 256 * 1024;
    private static final int MAX_IN_FLIGHT = 2;

    private final Deque<Requested> queue = new ArrayDeque<>();
    private final Deque<ImmutableList<Requested>> splitBatches = new ArrayDeque<>();
    private final Map<Long, ImmutableList<Requested>> inFlight = new HashMap<>();
    private long lastCallId;

    @Override
    public ImmutableList<ClaimWriterEffect> apply(ClaimWriterEvent event, long nowNanos) {
        ImmutableList.Builder<ClaimWriterEffect> effects = ImmutableList.builder();
        switch (event) {
            case Requested requested -> enqueue(requested, effects);
            case Answered answered -> handleAnswer(answered, effects);
        }
        sendBatches(effects);
        return effects.build();
    }

    private void enqueue(Requested requested, ImmutableList.Builder<ClaimWriterEffect> effects) {
        if (queue.size() == MAX_QUEUED) {
            effects.add(new Finished(requested.request(), new TableService.Unavailable()));
            return;
        }
        queue.add(requested);
    }

    private void handleAnswer(Answered answered, ImmutableList.Builder<ClaimWriterEffect> effects) {
        ImmutableList<Requested> batch = inFlight.remove(answered.callId());
        if (batch == null) {
            return;
        }
        CommitResult result = answered.result();
        if (result instanceof TableService.Conflict && batch.size() > 1) {
            int middle = batch.size() / 2;
            splitBatches.add(batch.subList(0, middle));
            splitBatches.add(batch.subList(middle, batch.size()));
            return;
        }
        for (Requested requested : batch) {
            effects.add(new Finished(requested.request(), result));
        }
    }

    private void sendBatches(ImmutableList.Builder<ClaimWriterEffect> effects) {
        while (inFlight.size() < MAX_IN_FLIGHT && !(splitBatches.isEmpty() && queue.isEmpty())) {
            ImmutableList<Requested> batch = splitBatches.isEmpty() ? nextBatch() : splitBatches.remove();
            lastCallId++;
            inFlight.put(lastCallId, batch);
            ImmutableList<ClaimSwap> swaps =
                    batch.stream().map(Requested::swap).collect(ImmutableList.toImmutableList());
            effects.add(new Commit(lastCallId, ClaimSwap.commit(swaps)));
        }
    }

    /** Removes the oldest swaps from the queue, at most one per key. */
    private ImmutableList<Requested> nextBatch() {
        ImmutableList.Builder<Requested> batch = ImmutableList.builder();
        Set<String> keys = new HashSet<>();
        int chars = 0;
        Iterator<Requested> queued = queue.iterator();
        while (queued.hasNext() && keys.size() < MAX_BATCH_SIZE && chars < MAX_BATCH_CHARS) {
            Requested requested = queued.next();
            if (keys.add(requested.swap().key())) {
                batch.add(requested);
                chars += requested.swap().value().length();
                queued.remove();
            }
        }
        return batch.build();
    }
}
