/**
 * The life of a request that is passed on to a target as it came: a limit armed first, an assignment, one or more
 * attempts, one answer.
 *
 * <p>All state of a request is confined to the event loop of its caller's connection.
 */
package org.boragebarrow.node.relay;
