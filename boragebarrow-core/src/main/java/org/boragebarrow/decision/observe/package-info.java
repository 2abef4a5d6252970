/**
 * Monitors the targets of a zone: whether they answer polls and accept new work, and which orphans hold their memory.
 *
 * <p>Two hosts monitor each target. Orphans are cancelled until the target no longer lists them. Nothing is cancelled
 * that belongs to a live owner and is within its time limit.
 */
package org.boragebarrow.decision.observe;
