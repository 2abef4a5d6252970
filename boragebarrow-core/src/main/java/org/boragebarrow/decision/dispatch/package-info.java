/**
 * Decides when and on which target each request runs: admission, ordering and placement for one availability zone.
 *
 * <p>The dispatcher is a single-writer state machine that performs no I/O, reads no clock and starts no threads. Two
 * dispatchers active in a zone at the same time reduce efficiency but not correctness.
 */
package org.boragebarrow.decision.dispatch;
