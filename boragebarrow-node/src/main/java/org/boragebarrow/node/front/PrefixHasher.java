package org.boragebarrow.node.front;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;

/**
 * Hashes a prompt's leading text in blocks, each hash covering all text up to the end of its block.
 *
 * <p>Two prompts share a cached prefix as far as their hashes agree. Only whole blocks count, and only so many of them.
 */
final class PrefixHasher {
    /** Characters in one block, about 256 tokens. */
    static final int BLOCK_CHARACTERS = 1_024;

    /** Blocks that are hashed at most. */
    static final int MAX_BLOCKS = 64;

    private static final HashFunction HASH = Hashing.farmHashFingerprint64();

    private final StringBuilder block = new StringBuilder(BLOCK_CHARACTERS);
    private final ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();

    private int blocks;
    private long chained;

    void add(String text) {
        int from = 0;
        while (from < text.length() && blocks < MAX_BLOCKS) {
            int to = Math.min(text.length(), from + BLOCK_CHARACTERS - block.length());
            block.append(text, from, to);
            from = to;
            if (block.length() == BLOCK_CHARACTERS) {
                closeBlock();
            }
        }
    }

    private void closeBlock() {
        chained = HASH.newHasher()
                .putLong(chained)
                .putString(block, StandardCharsets.UTF_8)
                .hash()
                .asLong();
        hashes.add(chained);
        blocks++;
        block.setLength(0);
    }

    ImmutableLongArray hashes() {
        return hashes.build();
    }
}
