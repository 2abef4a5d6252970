package org.boragebarrow.standins.engine;

import com.google.common.hash.Hashing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Static functions that derive an answer from its prompt, so that all engines return the same answer. */
public final class TokenTexts {
    private static final int CHECKSUM_VALUES = 1 << 12;

    private TokenTexts() {}

    /** Returns the hash of the given request body; it determines the tokens of the answer. */
    public static long bodyHash(byte[] body) {
        return bodyHash(body, body.length);
    }

    /** Returns the hash of the first {@code length} bytes of the body; it determines the tokens of the answer. */
    public static long bodyHash(byte[] body, int length) {
        checkNotNull(body);
        return Hashing.murmur3_128().hashBytes(body, 0, length).asLong();
    }

    /** Returns the text of the token at the index: printable ASCII that needs no escaping in JSON. */
    public static String text(long bodyHash, int index) {
        checkArgument(index >= 0, "negative index: %s", index);
        int checksum = Math.floorMod(mix(bodyHash + index), CHECKSUM_VALUES);
        return "t" + index + "-" + Integer.toHexString(checksum) + " ";
    }

    /** Returns the complete answer of the given number of tokens. */
    public static String completeText(long bodyHash, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(text(bodyHash, i));
        }
        return text.toString();
    }

    private static int mix(long value) {
        return Hashing.murmur3_32_fixed().hashLong(value).asInt();
    }
}
