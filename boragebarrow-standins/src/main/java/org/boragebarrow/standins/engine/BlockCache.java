package org.boragebarrow.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.PrefixBlocks;

import static com.google.common.base.Preconditions.checkState;

/** A prefix cache of prompt blocks that evicts the least recently used. */
final class BlockCache {
    private final CacheEventLog log;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    BlockCache(CacheEventLog log) {
        this.log = log;
    }

    long tokens() {
        return (long) blocks.size() * PrefixBlocks.BLOCK_TOKENS;
    }

    /** Returns the number of leading tokens of the prompt that are cached, and marks their blocks as used. */
    long match(ImmutableLongArray prompt) {
        for (int i = 0; i < prompt.length(); i++) {
            if (blocks.get(prompt.get(i)) == null) {
                return (long) i * PrefixBlocks.BLOCK_TOKENS;
            }
        }
        return (long) prompt.length() * PrefixBlocks.BLOCK_TOKENS;
    }

    /** Stores the leading blocks of the prompt that fit into {@code maxTokens}, and evicts least recently used ones. */
    void store(ImmutableLongArray prompt, long maxTokens, long nowNanos) {
        long fitting = Math.min(prompt.length(), maxTokens / PrefixBlocks.BLOCK_TOKENS);
        for (int i = 0; i < fitting; i++) {
            if (blocks.get(prompt.get(i)) == null) {
                blocks.put(prompt.get(i), true);
                log.add(prompt.get(i), true, nowNanos);
            }
        }
        shrink(maxTokens, nowNanos);
    }

    /** Evicts the least recently used blocks until at most {@code maxTokens} remain. */
    void shrink(long maxTokens, long nowNanos) {
        checkState(maxTokens >= 0, "memory is overcommitted by %s tokens", -maxTokens);
        Iterator<Long> leastRecent = blocks.keySet().iterator();
        while (tokens() > maxTokens) {
            long evicted = leastRecent.next();
            leastRecent.remove();
            log.add(evicted, false, nowNanos);
        }
    }
}
