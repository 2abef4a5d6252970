/**
 * Finds parts of prompts that crash targets and keeps them from reaching more targets.
 *
 * <p>{@link org.boragebarrow.decision.quarantine.CrashAttribution} runs where attempts of all hosts are known and decides
 * which part is the cause; {@link org.boragebarrow.decision.quarantine.Quarantine} runs on every host and keeps the parts
 * that must not be sent, which hosts tell one another and store.
 *
 * <p>Load pattern: requests of one kind, at any host and no two alike, crash each target that begins to write an answer on
 * them, while targets also crash for other reasons.
 */
package org.boragebarrow.decision.quarantine;
