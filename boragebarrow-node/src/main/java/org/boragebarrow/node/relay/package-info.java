/**
 * Relays requests unchanged to targets. Each request has a time limit, whose timer is started first, an assignment, one
 * or more attempts, and one response.
 *
 * <p>All state of a request is confined to the event loop of its caller's connection.
 */
package org.boragebarrow.node.relay;
