package org.boragebarrow.decision.prefix;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import net.jqwik.api.Example;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

import static com.google.common.truth.Truth.assertThat;

final class PrefixIndexTest {
    private static final TargetId A = TargetId.of("a");
    private static final TargetId B = TargetId.of("b");

    private final PrefixIndex index = new PrefixIndex(100);

    private double cached(TargetId engine, long... chain) {
        index.match(ImmutableLongArray.copyOf(chain));
        return index.cachedBlocks(engine);
    }

    private static EngineControl.CacheEvents events(long first, EngineControl.CacheEvent... events) {
        return new EngineControl.CacheEvents(first, first + events.length, ImmutableList.copyOf(events));
    }

    private static EngineControl.CacheEvent stored(long hash) {
        return new EngineControl.CacheEvent(hash, true);
    }

    private static EngineControl.CacheEvent evicted(long hash) {
        return new EngineControl.CacheEvent(hash, false);
    }

    @Example
    void aDispatchedPrefixIsCachedAtItsEngineOnly() {
        index.onDispatched(A, ImmutableLongArray.of(1, 2, 3));
        assertThat(cached(A, 1, 2, 9)).isEqualTo(2.0);
        assertThat(cached(B, 1, 2, 9)).isEqualTo(0.0);
    }

    @Example
    void aMissingBlockEndsTheMatch() {
        index.onEvents(A, events(1, stored(1), stored(2), stored(3), evicted(2)));
        assertThat(cached(A, 1, 2, 3)).isEqualTo(1.0);
    }

    @Example
    void aGapMakesEarlierBlocksCountHalfUntilTheyAreStoredAgain() {
        index.onEvents(A, events(1, stored(1), stored(2)));
        index.onEvents(A, events(9, stored(1)));
        assertThat(index.hasUnconfirmedBlocks(A)).isTrue();
        assertThat(cached(A, 1, 2)).isEqualTo(1.5);
        index.onEvents(A, events(10, stored(2)));
        assertThat(cached(A, 1, 2)).isEqualTo(2.0);
    }

    @Example
    void repeatedEventsAreAppliedOnce() {
        index.onEvents(A, events(1, stored(1), evicted(1)));
        index.onEvents(A, events(1, stored(1)));
        assertThat(cached(A, 1)).isEqualTo(0.0);
    }

    @Example
    void onlyTheNewEventsOfAnOverlappingReportAreApplied() {
        index.onEvents(A, events(1, stored(1), evicted(1)));
        index.onEvents(A, events(1, stored(1), evicted(1), stored(2)));
        assertThat(cached(A, 1)).isEqualTo(0.0);
        assertThat(cached(A, 2)).isEqualTo(1.0);
    }

    @Example
    void theNumberOfBlocksIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            index.onDispatched(A, ImmutableLongArray.of(i));
        }
        assertThat(index.size()).isEqualTo(100);
        assertThat(cached(A, 999)).isEqualTo(1.0);
        assertThat(cached(A, 0)).isEqualTo(0.0);
    }

    @Example
    void aRemovedEngineHoldsNoBlocks() {
        index.onDispatched(A, ImmutableLongArray.of(1));
        index.onRemoved(A);
        index.onDispatched(A, ImmutableLongArray.of(2));
        assertThat(cached(A, 1)).isEqualTo(0.0);
    }

    @Example
    void manyGapsNeverGiveAnEngineTheBlocksOfAnother() {
        index.onDispatched(B, ImmutableLongArray.of(7));
        for (int i = 1; i < 2_000; i++) {
            index.onEvents(A, events(3L * i, stored(1)));
        }
        assertThat(cached(A, 7)).isEqualTo(0.0);
        assertThat(cached(B, 7)).isEqualTo(1.0);
    }

    @Example
    void enginesBeyondTheMaximumAreNotTracked() {
        for (int i = 0; i < PrefixIndex.MAX_ENGINES + 10; i++) {
            index.onDispatched(TargetId.of("e" + i), ImmutableLongArray.of(1));
        }
        assertThat(cached(TargetId.of("e0"), 1)).isEqualTo(1.0);
        assertThat(cached(TargetId.of("e" + PrefixIndex.MAX_ENGINES), 1)).isEqualTo(0.0);
    }
}
