/**
 * Decision logic: each package below is a single-writer state machine that turns events into effects.
 *
 * <p>No package below performs I/O, reads a clock, starts a thread or uses a source of randomness that it was not
 * given.
 */
package org.boragebarrow.decision;
