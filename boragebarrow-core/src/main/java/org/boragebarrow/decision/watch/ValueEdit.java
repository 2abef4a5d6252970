package org.boragebarrow.decision.watch;

import java.util.Arrays;
import java.util.zip.CRC32C;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The difference between two values, as parts that are copied from the earlier value or inserted.
 *
 * <p>Finding the parts takes time proportional to the sizes of both values: blocks of the earlier value are looked up in
 * the later one by a rolling hash, and each match is extended in both directions.
 *
 * @param parts the parts of the later value, in order
 * @param checksum the CRC-32C of the later value
 */
public record ValueEdit(ImmutableList<Part> parts, int checksum) {
    /** The shortest run of bytes that is copied; a shorter one costs about as much as inserting it. */
    private static final int BLOCK_BYTES = 32;

    private static final int HASH_FACTOR = 0x01000193;

    /** The factor of the first byte in the hash of a block. */
    private static final int FIRST_BYTE_FACTOR = power(HASH_FACTOR, BLOCK_BYTES - 1);

    /** Estimated size of an encoded part beyond the inserted bytes. */
    private static final int PART_BYTES = 10;

    /** A part of the later value. */
    public sealed interface Part {}

    /** Bytes of the earlier value. */
    public record Copy(int offset, int length) implements Part {
        public Copy {
            checkArgument(offset >= 0 && length > 0, "invalid range: offset %s, length %s", offset, length);
        }
    }

    /** Bytes that are given; the array must not be changed. */
    public record Insert(byte[] bytes) implements Part {}

    /** Returns the difference between two values. */
    public static ValueEdit between(byte[] earlier, byte[] later) {
        return new ValueEdit(new Matcher(earlier, later).match(), checksum(later));
    }

    /** Returns the estimated size of the encoded difference, in bytes. */
    public long bytes() {
        long sum = 0;
        for (Part part : parts) {
            sum += PART_BYTES + (part instanceof Insert insert ? insert.bytes().length : 0);
        }
        return sum;
    }

    /**
     * Returns the later value.
     *
     * @throws IllegalArgumentException if the earlier value is not the one that the difference was computed from
     */
    public byte[] applyTo(byte[] earlier) {
        long length = 0;
        for (Part part : parts) {
            length += switch (part) {
                case Copy copy -> copy.length();
                case Insert insert -> insert.bytes().length;
            };
        }
        checkArgument(length <= Integer.MAX_VALUE - 8, "a value of %s bytes is too large", length);
        byte[] later = new byte[(int) length];
        int end = 0;
        for (Part part : parts) {
            byte[] source = part instanceof Insert insert ? insert.bytes() : earlier;
            int offset = part instanceof Copy copy ? copy.offset() : 0;
            int count = part instanceof Copy copy ? copy.length() : source.length;
            checkArgument(count <= source.length - offset, "no %s bytes at %s in %s", count, offset, source.length);
            System.arraycopy(source, offset, later, end, count);
            end += count;
        }
        checkArgument(checksum(later) == checksum, "the checksum of the result does not match");
        return later;
    }

    private static int checksum(byte[] value) {
        CRC32C sum = new CRC32C();
        sum.update(value, 0, value.length);
        return (int) sum.getValue();
    }

    private static int power(int base, int exponent) {
        int result = 1;
        for (int i = 0; i < exponent; i++) {
            result *= base;
        }
        return result;
    }

    /** Finds the parts. */
    private static final class Matcher {
        private final byte[] earlier;
        private final byte[] later;
        private final ImmutableList.Builder<Part> parts = ImmutableList.builder();

        /** The first offset of a block with each hash, plus 1; a power of two, at least twice the number of blocks. */
        private final int[] offsets;

        /** The end of the parts that were found so far, in the later value. */
        private int matchedEnd;

        /** The difference between the offsets of the last copied part in the earlier and the later value. */
        private int shift;

        Matcher(byte[] earlier, byte[] later) {
            this.earlier = earlier;
            this.later = later;
            this.offsets = new int[Math.max(2, Integer.highestOneBit(earlier.length / BLOCK_BYTES + 1) * 4)];
        }

        ImmutableList<Part> match() {
            indexBlocks();
            int position = 0;
            int hash = 0;
            boolean hashed = false;
            while (position + BLOCK_BYTES <= later.length) {
                hash = hashed ? roll(hash, position) : hash(later, position);
                hashed = true;
                int offset = findBlock(position, hash);
                if (offset < 0) {
                    position++;
                    continue;
                }
                position = copy(offset, position);
                hashed = false;
            }
            insertUntil(later.length);
            return parts.build();
        }

        private void indexBlocks() {
            for (int offset = 0; offset + BLOCK_BYTES <= earlier.length; offset += BLOCK_BYTES) {
                int slot = slot(hash(earlier, offset));
                if (offsets[slot] == 0) {
                    offsets[slot] = offset + 1;
                }
            }
        }

        private int slot(int hash) {
            return (hash ^ (hash >>> 16)) & (offsets.length - 1);
        }

        private static int hash(byte[] bytes, int offset) {
            int hash = 0;
            for (int i = offset; i < offset + BLOCK_BYTES; i++) {
                hash = hash * HASH_FACTOR + bytes[i];
            }
            return hash;
        }

        /** Returns the hash of the block at the position, given that of the block one byte before. */
        private int roll(int previous, int position) {
            int withoutFirst = previous - later[position - 1] * FIRST_BYTE_FACTOR;
            return withoutFirst * HASH_FACTOR + later[position + BLOCK_BYTES - 1];
        }

        /** Returns an offset of the block in the earlier value, if possible that after the last copy, or -1. */
        private int findBlock(int position, int hash) {
            if (isBlockAt(position + shift, position)) {
                return position + shift;
            }
            int offset = offsets[slot(hash)] - 1;
            return isBlockAt(offset, position) ? offset : -1;
        }

        private boolean isBlockAt(int offset, int position) {
            return offset >= 0
                    && offset + BLOCK_BYTES <= earlier.length
                    && Arrays.equals(earlier, offset, offset + BLOCK_BYTES, later, position, position + BLOCK_BYTES);
        }

        /** Adds the longest copy around a block that was found and returns its end in the later value. */
        private int copy(int blockOffset, int blockPosition) {
            int offset = blockOffset;
            int position = blockPosition;
            while (offset > 0 && position > matchedEnd && earlier[offset - 1] == later[position - 1]) {
                offset--;
                position--;
            }
            int same = Arrays.mismatch(
                    earlier,
                    blockOffset + BLOCK_BYTES,
                    earlier.length,
                    later,
                    blockPosition + BLOCK_BYTES,
                    later.length);
            int rest = Math.min(earlier.length - blockOffset, later.length - blockPosition) - BLOCK_BYTES;
            int end = blockPosition + BLOCK_BYTES + (same < 0 ? rest : Math.min(same, rest));
            insertUntil(position);
            parts.add(new Copy(offset, end - position));
            matchedEnd = end;
            shift = offset - position;
            return end;
        }

        private void insertUntil(int position) {
            if (position > matchedEnd) {
                parts.add(new Insert(Arrays.copyOfRange(later, matchedEnd, position)));
            }
        }
    }
}
