/**
 * Decides which hosts are alive and what is known of other zones.
 *
 * <p>Hosts of one zone send each other heartbeats; one bridge host for each other zone exchanges digests with it and
 * relays them inside its own zone. A silent host is suspected first, and is ended only when no third host can show that
 * it is alive. An ended life never comes back: a host that learns that its life was ended takes a higher incarnation.
 */
package org.boragebarrow.decision.member;
