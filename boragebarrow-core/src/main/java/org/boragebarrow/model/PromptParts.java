package org.boragebarrow.model;

import java.util.Optional;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The parts of a prompt that are known by an id.
 *
 * @param shared the parts that other requests may hold too, in the order of the prompt
 * @param own the last part, which belongs to the request or its session; empty if the prompt has no parts with an id
 */
public record PromptParts(ImmutableList<PromptPartId> shared, Optional<PromptPartId> own) {
    /** The maximum number of shared parts; callers choose their number, and each is kept for a while. */
    public static final int MAX_SHARED = 64;

    private static final PromptParts NONE = new PromptParts(ImmutableList.of(), Optional.empty());

    public PromptParts {
        checkNotNull(own);
        checkArgument(shared.size() <= MAX_SHARED, "%s shared parts are more than %s", shared.size(), MAX_SHARED);
    }

    /** Returns the parts of a prompt without ids. */
    public static PromptParts none() {
        return NONE;
    }

    /** Returns the parts in the order of the prompt; of those before the last, the first {@link #MAX_SHARED} count. */
    public static PromptParts of(ImmutableList<PromptPartId> parts) {
        if (parts.isEmpty()) {
            return NONE;
        }
        int last = parts.size() - 1;
        return new PromptParts(parts.subList(0, Math.min(last, MAX_SHARED)), Optional.of(parts.get(last)));
    }
}
