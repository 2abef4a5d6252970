/** Tracks which engines hold which leading prompt blocks in their prefix caches. */
package org.boragebarrow.decision.prefix;
