package org.boragebarrow.model;

import java.nio.ByteBuffer;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;

import static com.google.common.base.Preconditions.checkNotNull;

/** Static functions that hash a prompt's leading blocks, so that hosts and engines name cached prefixes alike. */
public final class PrefixBlocks {
    /** The length of one block, in bytes. */
    public static final int BLOCK_BYTES = 2_048;

    /** The length that one block is taken for, in tokens. */
    public static final int BLOCK_TOKENS = 512;

    /** The most blocks of one prompt that are hashed. */
    public static final int MAX_BLOCKS = 1_024;

    private static final HashFunction FUNCTION = Hashing.murmur3_128();

    private PrefixBlocks() {}

    /**
     * Returns the hashes of the body's whole blocks, first block first.
     *
     * <p>Each hash covers its block and all before it, so that equal hashes mean equal prefixes.
     */
    public static ImmutableLongArray hash(ImmutableList<ByteBuffer> body) {
        checkNotNull(body);
        ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
        Hasher hasher = FUNCTION.newHasher();
        int missing = BLOCK_BYTES;
        int blocks = 0;
        for (ByteBuffer part : body) {
            ByteBuffer rest = part.duplicate();
            while (rest.remaining() >= missing && blocks < MAX_BLOCKS) {
                hasher.putBytes(take(rest, missing));
                long hash = hasher.hash().asLong();
                hashes.add(hash);
                hasher = FUNCTION.newHasher().putLong(hash);
                missing = BLOCK_BYTES;
                blocks++;
            }
            if (blocks == MAX_BLOCKS) {
                break;
            }
            missing -= rest.remaining();
            hasher.putBytes(rest);
        }
        return hashes.build();
    }

    private static ByteBuffer take(ByteBuffer buffer, int length) {
        ByteBuffer taken = buffer.slice(buffer.position(), length);
        buffer.position(buffer.position() + length);
        return taken;
    }
}
