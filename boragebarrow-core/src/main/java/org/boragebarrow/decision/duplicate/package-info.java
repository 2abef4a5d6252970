/**
 * Limits second copies of requests that are slower than usual.
 *
 * <p>Load patterns: a target that hangs one call in fifty, or works at an eighth of its pace, while others are free; all
 * targets slow at once, when copies would only add work; an organisation whose requests are all slow.
 */
package org.boragebarrow.decision.duplicate;
