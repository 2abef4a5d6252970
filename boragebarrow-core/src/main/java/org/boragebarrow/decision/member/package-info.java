/**
 * Decides which hosts are alive, and tracks the state of other zones.
 *
 * <p>Hosts of one zone send each other heartbeats; one bridge host for each other zone exchanges digests with it and
 * relays them inside its own zone. An unresponsive host is suspected first, and is ended only when no third host can
 * prove that it is alive. An ended incarnation never becomes live again: a host whose incarnation
 * was ended switches to a higher one when it receives the report.
 */
package org.boragebarrow.decision.member;
