/**
 * Decision logic: each package below is a single-writer state machine that turns events into effects.
 *
 * <p>No package below does input or output, reads a clock, starts a thread or draws randomness that it was not given.
 */
package org.boragebarrow.decision;
