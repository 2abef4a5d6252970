/**
 * Watches the zone's targets: who answers, who takes new work, and what holds memory there without an owner.
 *
 * <p>Two hosts watch each target. Orphans are cancelled until the target's own listing shows them gone; nothing is
 * cancelled that belongs to a live owner within its time limit.
 */
package org.boragebarrow.decision.observe;
