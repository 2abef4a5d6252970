/**
 * How much work targets get while they are cold and just after.
 *
 * <p>Load pattern: a whole zone of targets starts or comes back at once at a crest, and each of them breaks if it gets more
 * than a few requests in a second, whichever hosts send them and whether these hosts are in touch with one another or not.
 */
package org.boragebarrow.decision.warmth;
