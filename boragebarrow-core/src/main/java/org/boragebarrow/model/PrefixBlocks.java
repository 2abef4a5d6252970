package org.boragebarrow.model;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Hashes a prompt's leading text in blocks, so that hosts and engines name cached prefixes alike; not thread-safe.
 *
 * <p>Each hash covers all text up to the end of its block: two prompts share a prefix as far as their hashes agree.
 * Only whole blocks count, and only so many of them.
 */
public final class PrefixBlocks {
    /** The length of one block, in characters. */
    public static final int BLOCK_CHARACTERS = 2_048;

    /** The length that one block is taken for, in tokens. */
    public static final int BLOCK_TOKENS = 512;

    /** The most blocks of one prompt that are hashed. */
    public static final int MAX_BLOCKS = 64;

    private static final HashFunction HASH = Hashing.farmHashFingerprint64();

    private final StringBuilder block = new StringBuilder(BLOCK_CHARACTERS);
    private final ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
    private int blocks;
    private long chained;

    /** Takes in the text that follows; how the text is cut makes no difference. */
    public void add(String text) {
        checkNotNull(text);
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

    /** Returns the hashes of the whole blocks so far, first block first. */
    public ImmutableLongArray hashes() {
        return hashes.build();
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
}
