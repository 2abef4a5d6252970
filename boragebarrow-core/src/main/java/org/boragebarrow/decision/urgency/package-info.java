/**
 * Which of several pieces of work that compete for the same targets goes first, and how much room is kept for the more
 * urgent ones.
 *
 * <p>Load pattern: kinds of requests with different ranks share a service; one of them jumps to a multiple of its mean
 * within a second, while another falls, so that together they want more than the targets can serve.
 */
package org.boragebarrow.decision.urgency;
