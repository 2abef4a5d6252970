/** Decides which requests a stopping host can still have answered before its process exits. */
package org.boragebarrow.decision.shutdown;
