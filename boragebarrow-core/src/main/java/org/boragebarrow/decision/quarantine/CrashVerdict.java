package org.boragebarrow.decision.quarantine;

import org.boragebarrow.model.TargetId;

/** What {@link CrashAttribution} concludes from the end of an attempt. */
public sealed interface CrashVerdict {
    /**
     * A target has crashed, as opposed to a single connection that ended.
     *
     * @param aborted the attempts known so far whose connections ended with it
     */
    record TargetCrashed(TargetId target, int aborted) implements CrashVerdict {}

    /**
     * The part crashes targets.
     *
     * @param crashes the crashes that are attributed to it
     * @param prompts the different prompts that caused them
     */
    record Convicted(PartKey key, int crashes, int prompts) implements CrashVerdict {}

    /** Another part has turned out to be the cause of all crashes that were attributed to this one. */
    record Exonerated(PartKey key, PartKey cause) implements CrashVerdict {}
}
