package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a part of a prompt, such as a system prompt or a document, that several requests may share.
 *
 * <p>Immutable. Ordered lexicographically. Callers choose the ids; at most {@value #MAX_LENGTH} printable ASCII
 * characters without spaces.
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {
    /** The maximum length of an id, in characters. */
    public static final int MAX_LENGTH = 64;

    public PromptPartId {
        Ids.checkId("PromptPartId", value);
        checkArgument(value.length() <= MAX_LENGTH, "PromptPartId is longer than %s characters", MAX_LENGTH);
    }

    /** Returns the id with the given text. */
    public static PromptPartId of(String value) {
        return new PromptPartId(value);
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
