package org.boragebarrow.model;

import com.google.common.base.CharMatcher;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Static methods that validate textual ids. */
public final class Ids {
    /** The maximum length of an id, in characters. */
    public static final int MAX_LENGTH = 200;

    private static final CharMatcher PRINTABLE_ASCII = CharMatcher.inRange('!', '~');

    private Ids() {}

    /** Returns whether the text is a valid id: 1 to {@value #MAX_LENGTH} printable ASCII characters without spaces. */
    public static boolean isValid(String value) {
        checkNotNull(value);
        return !value.isEmpty() && value.length() <= MAX_LENGTH && PRINTABLE_ASCII.matchesAllOf(value);
    }

    static void checkId(String type, String value) {
        checkNotNull(value, "%s is null", type);
        checkArgument(isValid(value), "%s must be 1 to %s printable ASCII characters: \"%s\"", type, MAX_LENGTH, value);
    }
}
