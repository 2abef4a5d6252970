/**
 * Authenticated, bounded links between hosts over TCP.
 *
 * <p>Each host sends over links that it opens itself and receives over links that its peers open. After the handshake a
 * link carries messages in one direction only, so a loss of connectivity in one direction is detected as such.
 */
package org.boragebarrow.peer.link;
