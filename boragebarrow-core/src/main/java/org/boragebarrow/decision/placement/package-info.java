/** Places roles on hosts by rendezvous hashing, so that hosts with the same view agree without talking. */
package org.boragebarrow.decision.placement;
