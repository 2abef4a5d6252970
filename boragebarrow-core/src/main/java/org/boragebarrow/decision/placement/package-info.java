/** Assigns roles to hosts by rendezvous hashing, so that hosts with the same view agree without communication. */
package org.boragebarrow.decision.placement;
