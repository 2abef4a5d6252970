package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Classes of prompts by length, on a logarithmic scale. Each class has its own queues, reserved capacity and
 * histograms.
 */
public enum LengthClass {
    /** Up to 4,096 tokens. */
    SHORT(4_096),
    /** Up to 32,768 tokens. */
    MEDIUM(32_768),
    /** Up to 131,072 tokens. */
    LONG(131_072),
    /** Up to 1,048,576 tokens. */
    HUGE(1_048_576);

    private static final LengthClass[] VALUES = values();

    private final int maxTokens;

    LengthClass(int maxTokens) {
        this.maxTokens = maxTokens;
    }

    /** Returns the maximum prompt length of this class, in tokens. */
    public int maxTokens() {
        return maxTokens;
    }

    /** Returns the class of a prompt of the given length, or {@link #HUGE} if no class includes it. */
    public static LengthClass of(int promptTokens) {
        checkArgument(promptTokens >= 0, "prompt tokens must not be negative: %s", promptTokens);
        for (LengthClass lengthClass : VALUES) {
            if (promptTokens <= lengthClass.maxTokens) {
                return lengthClass;
            }
        }
        return HUGE;
    }
}
