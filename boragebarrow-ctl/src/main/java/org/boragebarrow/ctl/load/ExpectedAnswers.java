package org.boragebarrow.ctl.load;

import java.nio.ByteBuffer;
import java.util.List;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/** Computes the response text that the stand-in engines generate for a request body. */
final class ExpectedAnswers {
    private static final int CHECKSUM_VALUES = 1 << 12;

    private ExpectedAnswers() {}

    /** Returns the complete text of a response of the given number of tokens. */
    static String text(List<ByteBuffer> body, int tokens) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        body.forEach(part -> hasher.putBytes(part.duplicate()));
        long hash = hasher.hash().asLong();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            int checksum =
                    Math.floorMod(Hashing.murmur3_32_fixed().hashLong(hash + i).asInt(), CHECKSUM_VALUES);
            text.append('t')
                    .append(i)
                    .append('-')
                    .append(Integer.toHexString(checksum))
                    .append(' ');
        }
        return text.toString();
    }
}
