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
 * all its blocks are unconfirmed until they are stored again; unconfirmed blocks count half. Beyond the maximum number
 * of blocks the least recently used ones are evicted. Not thread-safe.
 */
public final class PrefixIndex {
    /** The maximum number of leading blocks of one prompt that are indexed and matched. */
    public static final int MAX_CHAIN = 1_024;

    /** The maximum number of tracked engines; other engines never match any blocks. */
    public static final int MAX_ENGINES = 128;

    // Each engine uses one slot for its confirmed blocks and one for its unconfirmed blocks.
    private static final int MAX_SLOTS = 2 * MAX_ENGINES;
    private static final int WORDS = MAX_SLOTS / Long.SIZE;
    private static final double DOUBT = 0.5;
    private static final long[] NOTHING = new long[WORDS];

    private final Map<Long, long[]> holders;
    private final Map<TargetId, Slots> engines = new HashMap<>();
    private final ArrayDeque<Integer> unused = new ArrayDeque<>();
    private final long[] retired = new long[WORDS];

    private final int[] matched = new int[MAX_SLOTS];
    private final long[] alive = new long[WORDS];

    /** Creates an empty index of up to {@code maxBlocks} blocks. */
    public PrefixIndex(int maxBlocks) {
        checkArgument(maxBlocks > 0, "maxBlocks must be positive: %s", maxBlocks);
        holders = new LinkedHashMap<>(1_024, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, long[]> eldest) {
                return size() > maxBlocks;
            }
        };
        for (int i = 0; i < MAX_SLOTS; i++) {
            unused.add(i);
        }
    }

    /**
     * Records that a prompt was sent to the engine.
     *
     * @param blockHashes chained hashes of the prompt's leading blocks, first block first
     */
    public void onDispatched(TargetId engine, ImmutableLongArray blockHashes) {
        if (isFull(engine)) {
            return;
        }
        Slots slots = slots(engine);
        int length = Math.min(blockHashes.length(), MAX_CHAIN);
        for (int i = 0; i < length; i++) {
            store(slots, blockHashes.get(i));
        }
    }

    /** Applies cache events of the engine; a gap in them makes its earlier blocks unconfirmed. */
    public void onEvents(TargetId engine, EngineControl.CacheEvents events) {
        if (isFull(engine)) {
            return;
        }
        Slots slots = slots(engine);
        if (events.next() <= slots.expected) {
            return;
        }
        boolean gap = slots.expected >= 0 && events.first() > slots.expected;
        if (gap) {
            doubt(slots);
        }
        ImmutableList<EngineControl.CacheEvent> list = events.events();
        // A repeated report overlaps with events that were already applied.
        int from = (int) Math.min(list.size(), Math.max(0, slots.expected - events.first()));
        for (EngineControl.CacheEvent event : list.subList(from, list.size())) {
            if (event.stored()) {
                store(slots, event.blockHash());
            } else {
                drop(slots, event.blockHash());
            }
        }
        slots.expected = events.next();
    }

    /** Removes an engine and its blocks. */
    public void onRemoved(TargetId engine) {
        Slots slots = engines.remove(engine);
        if (slots == null) {
            return;
        }
        retire(slots.sure);
        retire(slots.doubtful);
    }

    /** Matches a prompt against the index; {@link #cachedBlocks} refers to this prompt until the next call. */
    public void match(ImmutableLongArray blockHashes) {
        Arrays.fill(matched, 0);
        Arrays.fill(alive, -1L);
        int length = Math.min(blockHashes.length(), MAX_CHAIN);
        for (int i = 0; i < length; i++) {
            long[] slotBits = holders.get(blockHashes.get(i));
            if (slotBits == null) {
                settle(NOTHING, i);
                return;
            }
            if (!settle(slotBits, i)) {
                return;
            }
        }
        settle(NOTHING, length);
    }

    /** Returns how many leading blocks of the matched prompt the engine holds; unconfirmed blocks count half. */
    public double cachedBlocks(TargetId engine) {
        Slots slots = engines.get(checkNotNull(engine));
        if (slots == null) {
            return 0;
        }
        int confirmed = matched[slots.sure];
        int unconfirmed = slots.doubtful < 0 ? 0 : matched[slots.doubtful];
        return confirmed >= unconfirmed ? confirmed : confirmed + DOUBT * (unconfirmed - confirmed);
    }

    /** Returns whether the engine may have unconfirmed blocks because some of its cache events were missed. */
    public boolean isDoubtful(TargetId engine) {
        Slots slots = engines.get(checkNotNull(engine));
        return slots != null && slots.doubtful >= 0;
    }

    /** Returns the number of indexed blocks. */
    public int size() {
        return holders.size();
    }

    private boolean isFull(TargetId engine) {
        return engines.size() >= MAX_ENGINES && !engines.containsKey(engine);
    }

    /** Records the match length of the slots that lack the next block; returns whether any slot still matches. */
    private boolean settle(long[] slotBits, int length) {
        long stillMatching = 0;
        for (int w = 0; w < WORDS; w++) {
            long ended = alive[w] & ~slotBits[w];
            alive[w] &= slotBits[w];
            stillMatching |= alive[w];
            // A mismatch at the first block needs no record, as all lengths start at 0.
            while (length > 0 && ended != 0) {
                matched[w * Long.SIZE + Long.numberOfTrailingZeros(ended)] = length;
                ended &= ended - 1;
            }
        }
        return stillMatching != 0;
    }

    private void store(Slots slots, long hash) {
        long[] slotBits = holders.computeIfAbsent(hash, h -> new long[WORDS]);
        set(slotBits, slots.sure);
    }

    private void drop(Slots slots, long hash) {
        long[] slotBits = holders.get(hash);
        if (slotBits == null) {
            return;
        }
        clear(slotBits, slots.sure);
        if (slots.doubtful >= 0) {
            clear(slotBits, slots.doubtful);
        }
    }

    private void doubt(Slots slots) {
        retire(slots.doubtful);
        slots.doubtful = slots.sure;
        slots.sure = takeSlot();
    }

    private Slots slots(TargetId engine) {
        Slots slots = engines.get(checkNotNull(engine));
        if (slots == null) {
            slots = new Slots(takeSlot());
            engines.put(engine, slots);
        }
        return slots;
    }

    private int takeSlot() {
        if (unused.isEmpty()) {
            sweep();
        }
        checkState(!unused.isEmpty(), "no free slot for %s engines", engines.size());
        return unused.remove();
    }

    private void retire(int slot) {
        if (slot >= 0) {
            set(retired, slot);
        }
    }

    /** Clears the bits of all retired slots in one scan of the blocks, so that a gap needs no scan of its own. */
    private void sweep() {
        holders.values().removeIf(slotBits -> {
            long remaining = 0;
            for (int w = 0; w < WORDS; w++) {
                slotBits[w] &= ~retired[w];
                remaining |= slotBits[w];
            }
            return remaining == 0;
        });
        for (int slot = 0; slot < MAX_SLOTS; slot++) {
            if ((retired[slot / Long.SIZE] >>> slot & 1) != 0) {
                unused.add(slot);
            }
        }
        Arrays.fill(retired, 0);
    }

    private static void set(long[] slotBits, int slot) {
        slotBits[slot / Long.SIZE] |= 1L << slot;
    }

    private static void clear(long[] slotBits, int slot) {
        slotBits[slot / Long.SIZE] &= ~(1L << slot);
    }

    private static final class Slots {
        private int sure;
        private int doubtful = -1;
        private long expected = -1;

        Slots(int confirmed) {
            this.sure = confirmed;
        }
    }
}
