package org.boragebarrow.decision.prefix;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * An index of which engines probably hold the leading blocks of a prompt in their prefix caches.
 *
 * <p>The index is updated from the owner's dispatches and the engines' cache events. After a gap in an engine's events
 * all its blocks are unconfirmed until they are stored again; an unconfirmed block is counted as half a block. Beyond
 * the maximum number of blocks the least recently used ones are evicted. Not thread-safe.
 */
public final class PrefixIndex {
    /** The maximum number of leading blocks of one prompt that are indexed and matched. */
    public static final int MAX_PROMPT_BLOCKS = 1_024;

    /** The maximum number of tracked engines; other engines never match any blocks. */
    public static final int MAX_ENGINES = 128;

    // Each engine uses one slot for its confirmed blocks and one for its unconfirmed blocks.
    private static final int MAX_SLOTS = 2 * MAX_ENGINES;
    private static final int WORDS = MAX_SLOTS / Long.SIZE;
    private static final double UNCONFIRMED_WEIGHT = 0.5;
    private static final long[] NO_SLOTS = new long[WORDS];

    private final Map<Long, long[]> slotsByBlock;
    private final Map<TargetId, EngineSlots> engines = new HashMap<>();
    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
    private final long[] retiredSlots = new long[WORDS];

    private final int[] matchedBlocks = new int[MAX_SLOTS];
    private final long[] matchingSlots = new long[WORDS];

    /** Creates an empty index of up to {@code maxBlocks} blocks. */
    public PrefixIndex(int maxBlocks) {
        checkArgument(maxBlocks > 0, "maxBlocks must be positive: %s", maxBlocks);
        slotsByBlock = new LinkedHashMap<>(1_024, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, long[]> eldest) {
                return size() > maxBlocks;
            }
        };
        for (int i = 0; i < MAX_SLOTS; i++) {
            freeSlots.add(i);
        }
    }

    /**
     * Records that a prompt was sent to the engine.
     *
     * @param blockHashes chained hashes of the prompt's leading blocks, first block first
     */
    public void onDispatched(TargetId engine, ImmutableLongArray blockHashes) {
        if (exceedsMaxEngines(engine)) {
            return;
        }
        EngineSlots slots = slotsOf(engine);
        int length = Math.min(blockHashes.length(), MAX_PROMPT_BLOCKS);
        for (int i = 0; i < length; i++) {
            store(slots, blockHashes.get(i));
        }
    }

    /** Applies cache events of the engine; a gap in them makes its earlier blocks unconfirmed. */
    public void onEvents(TargetId engine, EngineControl.CacheEvents events) {
        if (exceedsMaxEngines(engine)) {
            return;
        }
        EngineSlots slots = slotsOf(engine);
        if (events.next() <= slots.nextSequence) {
            return;
        }
        boolean gap = slots.nextSequence >= 0 && events.first() > slots.nextSequence;
        if (gap) {
            markUnconfirmed(slots);
        }
        ImmutableList<EngineControl.CacheEvent> list = events.events();
        // A repeated report overlaps with events that were already applied.
        int from = (int) Math.min(list.size(), Math.max(0, slots.nextSequence - events.first()));
        for (EngineControl.CacheEvent event : list.subList(from, list.size())) {
            if (event.stored()) {
                store(slots, event.blockHash());
            } else {
                remove(slots, event.blockHash());
            }
        }
        slots.nextSequence = events.next();
    }

    /** Removes an engine and its blocks. */
    public void onRemoved(TargetId engine) {
        EngineSlots slots = engines.remove(engine);
        if (slots == null) {
            return;
        }
        retire(slots.confirmed);
        retire(slots.unconfirmed);
    }

    /** Matches a prompt against the index; {@link #cachedBlocks} refers to this prompt until the next call. */
    public void match(ImmutableLongArray blockHashes) {
        Arrays.fill(matchedBlocks, 0);
        Arrays.fill(matchingSlots, -1L);
        int length = Math.min(blockHashes.length(), MAX_PROMPT_BLOCKS);
        for (int i = 0; i < length; i++) {
            long[] slotBits = slotsByBlock.get(blockHashes.get(i));
            if (slotBits == null) {
                recordMismatches(NO_SLOTS, i);
                return;
            }
            if (!recordMismatches(slotBits, i)) {
                return;
            }
        }
        recordMismatches(NO_SLOTS, length);
    }

    /** Returns how many leading blocks of the matched prompt the engine holds, an unconfirmed one counted half. */
    public double cachedBlocks(TargetId engine) {
        EngineSlots slots = engines.get(checkNotNull(engine));
        if (slots == null) {
            return 0;
        }
        int confirmed = matchedBlocks[slots.confirmed];
        int unconfirmed = slots.unconfirmed < 0 ? 0 : matchedBlocks[slots.unconfirmed];
        return confirmed >= unconfirmed ? confirmed : confirmed + UNCONFIRMED_WEIGHT * (unconfirmed - confirmed);
    }

    /** Returns whether the engine may have unconfirmed blocks because some of its cache events were missed. */
    public boolean hasUnconfirmedBlocks(TargetId engine) {
        EngineSlots slots = engines.get(checkNotNull(engine));
        return slots != null && slots.unconfirmed >= 0;
    }

    /** Returns the number of indexed blocks. */
    public int size() {
        return slotsByBlock.size();
    }

    private boolean exceedsMaxEngines(TargetId engine) {
        return engines.size() >= MAX_ENGINES && !engines.containsKey(engine);
    }

    /** Records the match length of the slots that lack the next block; returns whether any slot still matches. */
    private boolean recordMismatches(long[] slotBits, int length) {
        long stillMatching = 0;
        for (int w = 0; w < WORDS; w++) {
            long ended = matchingSlots[w] & ~slotBits[w];
            matchingSlots[w] &= slotBits[w];
            stillMatching |= matchingSlots[w];
            // A mismatch at the first block needs no record, as all lengths start at 0.
            while (length > 0 && ended != 0) {
                matchedBlocks[w * Long.SIZE + Long.numberOfTrailingZeros(ended)] = length;
                ended &= ended - 1;
            }
        }
        return stillMatching != 0;
    }

    private void store(EngineSlots slots, long hash) {
        long[] slotBits = slotsByBlock.computeIfAbsent(hash, h -> new long[WORDS]);
        setBit(slotBits, slots.confirmed);
    }

    private void remove(EngineSlots slots, long hash) {
        long[] slotBits = slotsByBlock.get(hash);
        if (slotBits == null) {
            return;
        }
        clearBit(slotBits, slots.confirmed);
        if (slots.unconfirmed >= 0) {
            clearBit(slotBits, slots.unconfirmed);
        }
    }

    private void markUnconfirmed(EngineSlots slots) {
        retire(slots.unconfirmed);
        slots.unconfirmed = slots.confirmed;
        slots.confirmed = allocateSlot();
    }

    private EngineSlots slotsOf(TargetId engine) {
        EngineSlots slots = engines.get(checkNotNull(engine));
        if (slots == null) {
            slots = new EngineSlots(allocateSlot());
            engines.put(engine, slots);
        }
        return slots;
    }

    private int allocateSlot() {
        if (freeSlots.isEmpty()) {
            sweep();
        }
        checkState(!freeSlots.isEmpty(), "no free slot for %s engines", engines.size());
        return freeSlots.remove();
    }

    private void retire(int slot) {
        if (slot >= 0) {
            setBit(retiredSlots, slot);
        }
    }

    /** Clears the bits of all retired slots in one scan of the blocks, so that a gap by itself needs no scan. */
    private void sweep() {
        slotsByBlock.values().removeIf(slotBits -> {
            long remaining = 0;
            for (int w = 0; w < WORDS; w++) {
                slotBits[w] &= ~retiredSlots[w];
                remaining |= slotBits[w];
            }
            return remaining == 0;
        });
        for (int slot = 0; slot < MAX_SLOTS; slot++) {
            if ((retiredSlots[slot / Long.SIZE] >>> slot & 1) != 0) {
                freeSlots.add(slot);
            }
        }
        Arrays.fill(retiredSlots, 0);
    }

    private static void setBit(long[] slotBits, int slot) {
        slotBits[slot / Long.SIZE] |= 1L << slot;
    }

    private static void clearBit(long[] slotBits, int slot) {
        slotBits[slot / Long.SIZE] &= ~(1L << slot);
    }

    private static final class EngineSlots {
        private int confirmed;
        private int unconfirmed = -1;
        private long nextSequence = -1;

        EngineSlots(int confirmed) {
            this.confirmed = confirmed;
        }
    }
}
