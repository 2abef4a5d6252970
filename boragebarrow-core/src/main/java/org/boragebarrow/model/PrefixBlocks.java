package org.boragebarrow.model;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Hashes a prompt's prefix in blocks, so that hosts and engines identify cached prefixes by the same hashes.
 *
 * <p>Each hash covers all text up to the end of its block, so two prompts share a prefix up to the last block with
 * equal hashes. Only complete blocks are hashed, and at most {@value #MAX_BLOCKS} of them. Not thread-safe.
 */
public final class PrefixBlocks {
    /** The length of a block, in characters. */
    public static final int BLOCK_CHARACTERS = 2_048;

    /** The number of tokens that a block is assumed to have. */
    public static final int BLOCK_TOKENS = 512;

    /** The maximum number of blocks of a prompt that are hashed. */
    public static final int MAX_BLOCKS = 64;

    private static final HashFunction HASH = Hashing.farmHashFingerprint64();

    private final StringBuilder block = new StringBuilder(BLOCK_CHARACTERS);
    private final ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
    private int blockCount;
    private long previousHash;

    /** Appends text to the prompt. The hashes do not depend on how the text is split over calls. */
    public void add(String text) {
        checkNotNull(text);
        int from = 0;
        while (from < text.length() && blockCount < MAX_BLOCKS) {
            int to = Math.min(text.length(), from + BLOCK_CHARACTERS - block.length());
            block.append(text, from, to);
            from = to;
            if (block.length() == BLOCK_CHARACTERS) {
                finishBlock();
            }
        }
    }

    /** Returns the hashes of the complete blocks so far, in order of the text. */
    public ImmutableLongArray hashes() {
        return hashes.build();
    }

    private void finishBlock() {
        previousHash = HASH.newHasher()
                .putLong(previousHash)
                .putString(block, StandardCharsets.UTF_8)
                .hash()
                .asLong();
        hashes.add(previousHash);
        blockCount++;
        block.setLength(0);
    }
}
