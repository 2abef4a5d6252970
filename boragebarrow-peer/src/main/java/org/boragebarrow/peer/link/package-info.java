/**
 * Authenticated, bounded links between hosts over TCP.
 *
 * <p>Each host sends over links that it opens itself and receives over links that others open; a link carries messages
 * one way after its handshake, so an asymmetric loss is seen as one.
 */
package org.boragebarrow.peer.link;
