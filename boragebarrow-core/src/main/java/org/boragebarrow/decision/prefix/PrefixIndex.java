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
 * Tells which engines probably hold the leading blocks of a prompt in their prefix caches.
 *
 * <p>Not thread-safe. Learns from the owner's own dispatches and from the engines' cache events. A gap in an engine's
 * events makes all that was known of it doubtful until it is learnt anew; doubtful blocks count half. The blocks used
 * least recently are forgotten beyond the bound.
 */
public final class PrefixIndex {
    /** The most blocks of one prompt that are looked at. */
    public static final int MAX_CHAIN = 1_024;

    /** The most engines that are remembered; others never count as holding anything. */
    public static final int MAX_ENGINES = 128;

    // Each engine takes one slot for what is sure and one for what is doubtful.
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

    /** Creates an empty index that remembers up to {@code maxBlocks} blocks. */
    public PrefixIndex(int maxBlocks) {
        checkArgument(maxBlocks > 0, "bound must be positive: %s", maxBlocks);
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

    /** Notes that a prompt with these leading blocks was sent to the engine. */
    public void onDispatched(TargetId engine, ImmutableLongArray chain) {
        if (isFull(engine)) {
            return;
        }
        Slots slots = slots(engine);
        int length = Math.min(chain.length(), MAX_CHAIN);
        for (int i = 0; i < length; i++) {
            store(slots, chain.get(i));
        }
    }

    /** Notes cache events of the engine; a missing stretch makes what was known of it doubtful. */
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
        // A repeated report overlaps with events that were already noted.
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

    /** Forgets an engine that is gone. */
    public void onRemoved(TargetId engine) {
        Slots slots = engines.remove(engine);
        if (slots == null) {
            return;
        }
        retire(slots.sure);
        retire(slots.doubtful);
    }

    /** Looks a prompt up; the result of {@link #cachedBlocks} then refers to it until the next call. */
    public void match(ImmutableLongArray chain) {
        Arrays.fill(matched, 0);
        Arrays.fill(alive, -1L);
        int length = Math.min(chain.length(), MAX_CHAIN);
        for (int i = 0; i < length; i++) {
            long[] bits = holders.get(chain.get(i));
            if (bits == null) {
                settle(NOTHING, i);
                return;
            }
            if (!settle(bits, i)) {
                return;
            }
        }
        settle(NOTHING, length);
    }

    /** Returns how many leading blocks of the matched prompt the engine holds, doubtful ones counted half. */
    public double cachedBlocks(TargetId engine) {
        Slots slots = engines.get(checkNotNull(engine));
        if (slots == null) {
            return 0;
        }
        int sure = matched[slots.sure];
        int doubtful = slots.doubtful < 0 ? 0 : matched[slots.doubtful];
        return sure >= doubtful ? sure : sure + DOUBT * (doubtful - sure);
    }

    /** Returns whether cache events of the engine were missed and not all is learnt anew. */
    public boolean isDoubtful(TargetId engine) {
        Slots slots = engines.get(checkNotNull(engine));
        return slots != null && slots.doubtful >= 0;
    }

    /** Returns the number of blocks that are remembered. */
    public int size() {
        return holders.size();
    }

    private boolean isFull(TargetId engine) {
        return engines.size() >= MAX_ENGINES && !engines.containsKey(engine);
    }

    /** Notes the length of the match of those slots that lack the next block; returns whether others are left. */
    private boolean settle(long[] bits, int length) {
        long any = 0;
        for (int w = 0; w < WORDS; w++) {
            long lost = alive[w] & ~bits[w];
            alive[w] &= bits[w];
            any |= alive[w];
            // Nothing is noted before the first block, as all lengths start from 0.
            while (length > 0 && lost != 0) {
                matched[w * Long.SIZE + Long.numberOfTrailingZeros(lost)] = length;
                lost &= lost - 1;
            }
        }
        return any != 0;
    }

    private void store(Slots slots, long hash) {
        long[] bits = holders.computeIfAbsent(hash, h -> new long[WORDS]);
        set(bits, slots.sure);
    }

    private void drop(Slots slots, long hash) {
        long[] bits = holders.get(hash);
        if (bits == null) {
            return;
        }
        clear(bits, slots.sure);
        if (slots.doubtful >= 0) {
            clear(bits, slots.doubtful);
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
        checkState(!unused.isEmpty(), "no slot left for %s engines", engines.size());
        return unused.remove();
    }

    private void retire(int slot) {
        if (slot >= 0) {
            set(retired, slot);
        }
    }

    /** Clears the retired slots' bits from all blocks at once, so that a gap costs no scan of its own. */
    private void sweep() {
        holders.values().removeIf(bits -> {
            long left = 0;
            for (int w = 0; w < WORDS; w++) {
                bits[w] &= ~retired[w];
                left |= bits[w];
            }
            return left == 0;
        });
        for (int slot = 0; slot < MAX_SLOTS; slot++) {
            if ((retired[slot / Long.SIZE] >>> slot & 1) != 0) {
                unused.add(slot);
            }
        }
        Arrays.fill(retired, 0);
    }

    private static void set(long[] bits, int slot) {
        bits[slot / Long.SIZE] |= 1L << slot;
    }

    private static void clear(long[] bits, int slot) {
        bits[slot / Long.SIZE] &= ~(1L << slot);
    }

    private static final class Slots {
        private int sure;
        private int doubtful = -1;
        private long expected = -1;

        Slots(int sure) {
            this.sure = sure;
        }
    }
}
