package org.boragebarrow.standins.engine;

import com.google.common.hash.Hashing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Static functions that derive an answer from its prompt, so that every engine gives the same one. */
public final class TokenTexts {
    private static final int MARK_VALUES = 1 << 12;

    private TokenTexts() {}

    /** Returns the number that decides the answer to the given request body. */
    public static long bodyHash(byte[] body) {
        return bodyHash(body, body.length);
    }

    /** Returns the number that decides the answer to the first bytes of the given request body. */
    public static long bodyHash(byte[] body, int length) {
        checkNotNull(body);
        return Hashing.murmur3_128().hashBytes(body, 0, length).asLong();
    }

    /** Returns the text of the token at the index: printable ASCII that needs no escaping in JSON. */
    public static String text(long bodyHash, int index) {
        checkArgument(index >= 0, "negative index: %s", index);
        int mark = Math.floorMod(mix(bodyHash + index), MARK_VALUES);
        return "t" + index + "-" + Integer.toHexString(mark) + " ";
    }

    /** Returns the whole answer of the given number of tokens. */
    public static String wholeText(long bodyHash, int count) {
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
