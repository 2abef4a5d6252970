package org.boragebarrow.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.PrefixBlocks;

import static com.google.common.base.Preconditions.checkState;

/** The prefix cache: blocks in the order of their last use. */
final class BlockCache {
    private final CacheEventLog log;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    BlockCache(CacheEventLog log) {
        this.log = log;
    }

    long tokens() {
        return (long) blocks.size() * PrefixBlocks.BLOCK_TOKENS;
    }

    /** Returns how many of the prompt's leading tokens are cached, and marks their blocks as used. */
    long match(ImmutableLongArray prompt) {
        for (int i = 0; i < prompt.length(); i++) {
            if (blocks.get(prompt.get(i)) == null) {
                return (long) i * PrefixBlocks.BLOCK_TOKENS;
            }
        }
        return (long) prompt.length() * PrefixBlocks.BLOCK_TOKENS;
    }

    /** Stores the prompt's leading blocks, as many as the given memory holds, in place of the oldest others. */
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

    /** Evicts the blocks that were used longest ago until at most this many tokens are left. */
    void shrink(long maxTokens, long nowNanos) {
        checkState(maxTokens >= 0, "memory is overcommitted by %s tokens", -maxTokens);
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (tokens() > maxTokens) {
            long evicted = oldest.next();
            oldest.remove();
            log.add(evicted, false, nowNanos);
        }
    }
}
