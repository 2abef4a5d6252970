/** Remembers which engines hold which leading prompt blocks in their caches. */
package org.boragebarrow.decision.prefix;
