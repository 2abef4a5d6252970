package org.boragebarrow.decision.dispatch;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.allowance.RateMeter;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.ModelId;

/** The engines that serve one model and the queues of prompts for them. */
final class ModelPool {
    /** The index of the queue of prompts that need more than one engine. */
    static final int GANG_QUEUE = LengthClass.values().length;

    static final int QUEUE_COUNT = GANG_QUEUE + 1;

    // Long prompts are rare, so their rate is measured over a longer window.
    private static final Duration LONG_DEMAND_WINDOW = Duration.ofSeconds(60);
    private static final Duration SHORTER_DEMAND_WINDOW = Duration.ofSeconds(10);

    final ModelId model;
    final DecodeSlowdown decodeSlowdown = new DecodeSlowdown();
    private final int maxOvertakes;
    private final FairQueue[] queues = new FairQueue[QUEUE_COUNT];
    private final boolean[] blocked = new boolean[QUEUE_COUNT];
    private final long[] grantsAtLastService = new long[QUEUE_COUNT];
    private final EngineReservation[] reservations = new EngineReservation[QUEUE_COUNT];
    private ImmutableList<EngineView> engines = ImmutableList.of();
    private int[] openEngineIndexes = new int[0];
    private int openEngineCount;
    private long sequences;
    private boolean capacityKnown;
    private double prefillRate;
    private double decodeRate;
    private long grants;
    private final RateMeter longDemand = new RateMeter(LONG_DEMAND_WINDOW);
    private final RateMeter shorterDemand = new RateMeter(SHORTER_DEMAND_WINDOW);
    private int roundRobinIndex;

    ModelPool(ModelId model, int maxOvertakes) {
        this.model = model;
        this.maxOvertakes = maxOvertakes;
        for (int i = 0; i < QUEUE_COUNT; i++) {
            queues[i] = new FairQueue(maxOvertakes);
        }
    }

    FairQueue queue(int index) {
        return queues[index];
    }

    ImmutableList<EngineView> engines() {
        return engines;
    }

    void setEngines(ImmutableList<EngineView> engines) {
        this.engines = engines;
        openEngineIndexes = new int[engines.size()];
        openEngineCount = 0;
        capacityKnown = true;
        for (EngineView e : engines) {
            capacityKnown &= e.isReported();
        }
        updateRates();
        unblock();
    }

    /** Recomputes the total rates of the engines. */
    void updateRates() {
        prefillRate = 0;
        decodeRate = 0;
        for (EngineView e : engines) {
            prefillRate += e.prefillRate();
            decodeRate += e.slots() * e.decodeRate();
        }
    }

    /** Returns whether all engines have reported their memory. */
    boolean isCapacityKnown() {
        return capacityKnown;
    }

    /** Returns the total prefill rate of the engines, in prompt tokens per second. */
    double prefillRate() {
        return prefillRate;
    }

    /** Returns the total decode rate of the engines with full batches, in answer tokens per second. */
    double decodeRate() {
        return decodeRate;
    }

    /** Recomputes the list of open engines, so that placing a prompt skips the others. */
    void refreshOpenEngines(long nowNanos) {
        openEngineCount = 0;
        sequences = 0;
        for (int i = 0; i < engines.size(); i++) {
            sequences += engines.get(i).sequences();
            if (engines.get(i).isOpen(nowNanos)) {
                openEngineIndexes[openEngineCount++] = i;
            }
        }
    }

    /** Returns the mean number of requests per engine. */
    double meanSequences() {
        return (double) sequences / Math.max(1, engines.size());
    }

    /** Returns the number of engines that are open, see {@link EngineView#isOpen}. */
    int openEngineCount() {
        return openEngineCount;
    }

    /** Returns the index in {@link #engines} of the open engine with the given position. */
    int openEngineIndex(int position) {
        return openEngineIndexes[position];
    }

    /** Records a submitted prompt in the demand statistics. */
    void onSubmitted(LengthClass lengthClass, int promptTokens, long nowNanos) {
        (isLong(lengthClass) ? longDemand : shorterDemand).add(promptTokens, nowNanos);
    }

    /** Returns the recent submission rate of long prompts, in tokens per second. */
    double longTokensPerSecond(long nowNanos) {
        return longDemand.ratePerSecond(nowNanos);
    }

    /** Returns the recent submission rate of all other prompts, in tokens per second. */
    double shorterTokensPerSecond(long nowNanos) {
        return shorterDemand.ratePerSecond(nowNanos);
    }

    /** Returns the total prompt tokens of the queued long prompts. */
    double queuedLongTokens() {
        double sum = queues[GANG_QUEUE].promptTokens();
        for (LengthClass c : LengthClass.values()) {
            sum += isLong(c) ? queues[c.ordinal()].promptTokens() : 0;
        }
        return sum;
    }

    static boolean isLong(LengthClass lengthClass) {
        return lengthClass.compareTo(LengthClass.LONG) >= 0;
    }

    boolean isBlocked(int index) {
        return blocked[index];
    }

    /** Marks a queue as blocked: none of its prompts fits until capacity is released. */
    void block(int index) {
        blocked[index] = true;
    }

    /** Marks all queues as unblocked, as capacity may have become free. */
    void unblock() {
        Arrays.fill(blocked, false);
    }

    /** Adds a prompt to one of the queues. */
    void enqueue(int index, QueuedRequest queued, int weight, boolean classAware) {
        if (queues[index].isEmpty()) {
            grantsAtLastService[index] = grants;
        }
        if (classAware) {
            queues[index].add(queued, weight);
        } else {
            queues[index].addLast(queued);
        }
    }

    /** Removes a granted prompt from its queue. */
    void grant(int index, QueuedRequest queued) {
        queues[index].grant(queued);
        grants++;
        grantsAtLastService[index] = grants;
        releaseReservation(queued);
    }

    /** Removes a prompt that is not granted from its queue. */
    void remove(int index, QueuedRequest queued) {
        queues[index].remove(queued);
        releaseReservation(queued);
    }

    /**
     * Returns whether the queue is not empty and the pool has made at least {@code maxOvertakes} grants since this
     * queue's last one, so that it may reserve engines.
     */
    boolean isStarved(int index) {
        return !queues[index].isEmpty() && grants - grantsAtLastService[index] >= maxOvertakes;
    }

    Optional<EngineReservation> reservation(int index) {
        return Optional.ofNullable(reservations[index]);
    }

    void setReservation(int index, EngineReservation reservation) {
        releaseReservation(index);
        reservations[index] = reservation;
        for (EngineView e : reservation.engines()) {
            e.setReservation(Optional.of(reservation));
        }
    }

    /** Releases reservations with an engine that no longer accepts new work or has left the pool. */
    void refreshReservations(long nowNanos) {
        for (int i = 0; i < QUEUE_COUNT; i++) {
            EngineReservation reservation = reservations[i];
            if (reservation == null) {
                continue;
            }
            for (EngineView e : reservation.engines()) {
                if (!e.isAvailable(nowNanos) || !engines.contains(e)) {
                    releaseReservation(i);
                    break;
                }
            }
        }
    }

    /** Returns the next index of a round robin. */
    int nextRoundRobinIndex() {
        roundRobinIndex = roundRobinIndex == Integer.MAX_VALUE ? 0 : roundRobinIndex + 1;
        return roundRobinIndex;
    }

    boolean isIdle() {
        for (FairQueue q : queues) {
            if (!q.isEmpty()) {
                return false;
            }
        }
        return true;
    }

    private void releaseReservation(QueuedRequest queued) {
        for (int i = 0; i < QUEUE_COUNT; i++) {
            if (reservations[i] != null && reservations[i].queued() == queued) {
                releaseReservation(i);
            }
        }
    }

    private void releaseReservation(int index) {
        EngineReservation reservation = reservations[index];
        if (reservation == null) {
            return;
        }
        reservations[index] = null;
        for (EngineView e : reservation.engines()) {
            if (e.reservation().filter(r -> r == reservation).isPresent()) {
                e.setReservation(Optional.empty());
            }
        }
    }
}
